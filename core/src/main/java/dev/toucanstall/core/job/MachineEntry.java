package dev.toucanstall.core.job;

/**
 * An entry of the platform's list of machines. Immutable.
 *
 * @param name the machine's name
 * @param service name of the pool that the machine is in
 * @param up whether the machine is in service
 * @param serverId id of the backend server that runs on the machine, empty if none runs
 */
public record MachineEntry(String name, String service, boolean up, String serverId) {}
