package dev.toucanstall.core.record;

import dev.toucanstall.core.model.Address;
import dev.toucanstall.core.model.DomainId;
import dev.toucanstall.core.model.MemberId;

/**
 * An entry instance as a member of the system.
 *
 * @param id the name from its settings
 * @param incarnation which start of it this is, later starts have higher numbers
 * @param peerAddress where it listens to its peers
 * @param httpAddress where it listens to callers and operators
 * @param datacentre its data centre
 * @param domain its failure domain
 */
public record Member(
    MemberId id,
    long incarnation,
    Address peerAddress,
    Address httpAddress,
    String datacentre,
    DomainId domain) {}
