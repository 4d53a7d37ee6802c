package dev.toucanstall.core.job;

/**
 * A machine as the platform lists it. Immutable.
 *
 * @param name the machine's name
 * @param service the pool that it is in
 * @param up whether it is in service
 * @param serverId the id of the backend server that runs on it, empty if none
 */
public record MachineEntry(String name, String service, boolean up, String serverId) {}
