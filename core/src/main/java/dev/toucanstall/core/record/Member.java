package dev.toucanstall.core.record;

import dev.toucanstall.core.model.Address;
import dev.toucanstall.core.model.DomainId;
import dev.toucanstall.core.model.MemberId;

/**
 * An entry instance as a member. Immutable.
 *
 * @param id name from the configuration
 * @param incarnation number of the start of the process; a later start has a higher number
 * @param peerAddress address for connections of peers
 * @param httpAddress address for callers and operators
 * @param datacentre data centre
 * @param domain failure domain
 */
public record Member(
    MemberId id,
    long incarnation,
    Address peerAddress,
    Address httpAddress,
    String datacentre,
    DomainId domain) {}
