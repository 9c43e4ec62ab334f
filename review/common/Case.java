package review.common;

import java.nio.file.Path;

/**
 * Runs a case and ends with its exit code: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
 */
public final class Case {

	/** After this time a case counts as one that could not run. */
	private static final long MAX_RUN_MILLIS = 115_000;

	private static final int COULD_NOT_RUN = 2;

	private Case() {
	}

	/** A case; returns whether the rule held. */
	@FunctionalInterface
	public interface Body {

		boolean run(Path root, Log log, boolean trouble) throws Exception;

	}

	public static void main(String folder, Body body) throws Exception {
		Path root = Path.of("").toAbsolutePath();
		Log log = new Log(root.resolve(folder).resolve("record.txt"));
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		Http.daemon(() -> {
			try {
				Thread.sleep(MAX_RUN_MILLIS);
				log.line("the case could not run: it is not over in time");
				System.exit(COULD_NOT_RUN);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		});
		int code;
		try {
			boolean held = body.run(root, log, trouble);
			log.line(held ? "the rule held" : "the rule was broken");
			code = held ? 0 : 1;
		}
		catch (Throwable ex) {
			log.line("the case could not run: " + ex);
			ex.printStackTrace();
			code = COULD_NOT_RUN;
		}
		System.exit(code);
	}

	/** The settings of the routes and services that the cases share. */
	public static String configuration(int version, String routes) {
		return "{'version':" + version + ",'routes':[" + routes + "],'services':["
				+ "{'name':'plain','health_path':'/health','max_conns':96,'protocol':'h1','tls':false,"
				+ "'cold_start_s':0.0,'cold_per_s':0.0},"
				+ "{'name':'engines','health_path':'/health','max_conns':160,'protocol':'h1','tls':false,"
				+ "'cold_start_s':0.0,'cold_per_s':0.0,'engine':{'slots':16,'kv_capacity':55021,"
				+ "'models':[{'name':'m'}]}},"
				+ "{'name':'engines-2','health_path':'/health','max_conns':160,'protocol':'h1','tls':false,"
				+ "'cold_start_s':0.0,'cold_per_s':0.0,'engine':{'slots':16,'kv_capacity':55021,"
				+ "'models':[{'name':'m'}]}}],"
				+ "'limits':{'max_header_bytes':16384,'max_body_bytes':33554432,'header_timeout_ms':3000,"
				+ "'idle_timeout_ms':15000},'tenants':[{'name':'tenant-1','api_keys':['key-1'],'priority':1},"
				+ "{'name':'tenant-2','api_keys':['key-2'],'priority':1}]}";
	}

	public static String route(String name, String prefix, String type, String service, long timeoutMillis,
			String more) {
		return "{'name':'" + name + "','host':'site.example','path_prefix':'" + prefix + "','route_type':'" + type
				+ "','timeout_ms':" + timeoutMillis + ",'goal_ms':400,'priority':2,'service':'" + service
				+ "','max_attempts':3,'public':false" + more + "}";
	}

}
