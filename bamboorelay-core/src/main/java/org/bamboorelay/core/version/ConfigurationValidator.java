package org.bamboorelay.core.version;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Validates the references between an inventory and its rules, and the ranges of their
 * values, before a configuration is accepted.
 * <p>
 * Stateless and thread-safe.
 */
public final class ConfigurationValidator {

	private ConfigurationValidator() {
	}

	/**
	 * Validates an inventory together with its rules.
	 * @param inventory the inventory
	 * @param rules the rules
	 * @return all faults, empty if the configuration is valid
	 */
	public static List<ConfigurationFault> validate(Inventory inventory, Rules rules) {
		List<ConfigurationFault> faults = new ArrayList<>();
		Set<FailureDomain> domains = new LinkedHashSet<>();
		inventory.failureDomains()
			.forEach((domain) -> checkUnique(domains, domain.name(), "failure_domains.name", faults));
		Set<HostId> hosts = new LinkedHashSet<>();
		for (Inventory.HostEntry host : inventory.hosts()) {
			checkUnique(hosts, host.name(), "hosts.name", faults);
			checkExists(domains, host.failureDomain(), "hosts.failure_domain", faults);
			checkAddress(host.httpAddress(), "hosts.http_address", faults);
			checkAddress(host.peerAddress(), "hosts.peer_address", faults);
		}
		Set<ServiceId> services = new LinkedHashSet<>();
		for (Inventory.ServiceEntry service : inventory.services()) {
			checkUnique(services, service.name(), "services.name", faults);
			checkPositive(service.endpointCapacity(), "services.endpoint_capacity", faults);
		}
		Set<WorkspaceId> workspaces = new LinkedHashSet<>();
		for (Inventory.WorkspaceEntry workspace : inventory.workspaces()) {
			checkUnique(workspaces, workspace.name(), "workspaces.name", faults);
			checkPositive(workspace.weight(), "workspaces.weight", faults);
			workspace.services().forEach((service) -> checkExists(services, service, "workspaces.services", faults));
		}
		priorities(rules.priorities(), workspaces, services, faults);
		rules.staleness().forEach((rule) -> checkExists(services, rule.service(), "staleness.service", faults));
		rules.spending().forEach((rule) -> checkExists(services, rule.service(), "spending.service", faults));
		checkPositive(rules.usage().windowMillis(), "usage.window", faults);
		checkPositive(rules.admission().maxQueued(), "admission.max_queued", faults);
		return faults;
	}

	private static void priorities(List<Rules.PriorityRule> rules, Set<WorkspaceId> workspaces, Set<ServiceId> services,
			List<ConfigurationFault> faults) {
		for (int i = 0; i < rules.size(); i++) {
			Rules.PriorityRule rule = rules.get(i);
			String key = "priorities[" + i + "]";
			checkExists(workspaces, rule.workspace(), key + ".workspace", faults);
			if (rule.service() != null) {
				checkExists(services, rule.service(), key + ".service", faults);
			}
			if (rule.level() < Rules.PriorityRule.MIN_LEVEL || rule.level() > Rules.PriorityRule.MAX_LEVEL) {
				faults.add(new ConfigurationFault(key + ".level", Integer.toString(rule.level()),
						"a whole number from " + Rules.PriorityRule.MIN_LEVEL + " to " + Rules.PriorityRule.MAX_LEVEL));
			}
			for (int k = 0; k < i; k++) {
				Rules.PriorityRule other = rules.get(k);
				if (other.specificity() == rule.specificity() && other.overlaps(rule)) {
					faults.add(new ConfigurationFault(key, rule.workspace().value(),
							"one rule for the same requests; priorities[" + k + "] is as specific for some of them"));
					break;
				}
			}
		}
	}

	private static <T> void checkUnique(Set<T> seen, T name, String key, List<ConfigurationFault> faults) {
		if (!seen.add(name)) {
			faults.add(new ConfigurationFault(key, name.toString(), "a unique name"));
		}
	}

	private static <T> void checkExists(Set<T> names, T name, String key, List<ConfigurationFault> faults) {
		if (!names.contains(name)) {
			faults.add(new ConfigurationFault(key, name.toString(), "one of " + names));
		}
	}

	private static void checkPositive(long value, String key, List<ConfigurationFault> faults) {
		if (value <= 0) {
			faults.add(new ConfigurationFault(key, Long.toString(value), "a positive number"));
		}
	}

	private static void checkAddress(String value, String key, List<ConfigurationFault> faults) {
		if (!value.matches("(\\d{1,3}\\.){3}\\d{1,3}:\\d{1,5}")) {
			faults.add(new ConfigurationFault(key, value, "an IPv4 address and a port, such as 127.0.0.1:8080"));
		}
	}

}
