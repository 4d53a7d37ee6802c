package dev.toucanstall.testbed.platform;

import dev.toucanstall.core.model.InstanceId;
import dev.toucanstall.core.record.Observation;
import org.pcollections.TreePMap;
import org.pcollections.TreePVector;

/**
 * State of the stand-in for the platform. Immutable. Times are in nanoseconds of the monotonic
 * clock.
 *
 * @param firstOffset offset of the oldest retained record
 * @param records retained records
 * @param retention maximum number of retained records
 * @param waitingReads reads that wait for a record, by handle of the request
 * @param registered registrations as of now
 * @param listed instances as the list shows them, which lags behind the registrations
 * @param listRefreshAt time at which the list is next copied from the registrations
 * @param faults injected faults
 */
record PlatformState(
    long firstOffset,
    TreePVector<String> records,
    int retention,
    TreePMap<Long, WaitingRead> waitingReads,
    TreePMap<InstanceId, Registration> registered,
    TreePMap<InstanceId, Observation> listed,
    long listRefreshAt,
    Faults faults) {

  /**
   * Read that waits for a record.
   *
   * @param fromOffset first offset to read
   * @param maxRecords maximum number of records to return
   * @param deadline time at which the read is answered even without records
   */
  record WaitingRead(long fromOffset, int maxRecords, long deadline) {}

  /**
   * Registration of an instance, which expires unless it is renewed.
   *
   * @param observation description that the instance registered, with the condition announced
   *     since, if any
   * @param controlUrl URL of the host that restarts the instance
   * @param renewedAt time of the last registration
   */
  record Registration(Observation observation, String controlUrl, long renewedAt) {}

  /**
   * Injected faults, each with the time at which it ends. The answer to a fault request is this
   * record's text, so the names of its components are visible outside.
   *
   * @param logDownUntil end of the fault in which the log answers with an error
   * @param logSlowUntil end of the fault in which the log answers late
   * @param loseAnswersUntil end of the fault in which appends take effect but are answered with an
   *     error
   * @param listDownUntil end of the fault in which the list answers with an error
   */
  record Faults(long logDownUntil, long logSlowUntil, long loseAnswersUntil, long listDownUntil) {

    static final Faults NONE =
        new Faults(Long.MIN_VALUE, Long.MIN_VALUE, Long.MIN_VALUE, Long.MIN_VALUE);
  }

  static PlatformState empty(int retention) {
    return new PlatformState(
        0,
        TreePVector.empty(),
        retention,
        TreePMap.empty(),
        TreePMap.empty(),
        TreePMap.empty(),
        Long.MIN_VALUE,
        Faults.NONE);
  }

  long endOffset() {
    return firstOffset + records.size();
  }

  PlatformState plusRecord(String text) {
    boolean full = records.size() >= retention;
    TreePVector<String> retained = full ? records.minus(0) : records;
    return new PlatformState(
        full ? firstOffset + 1 : firstOffset,
        retained.plus(text),
        retention,
        waitingReads,
        registered,
        listed,
        listRefreshAt,
        faults);
  }

  PlatformState withWaitingReads(TreePMap<Long, WaitingRead> next) {
    return new PlatformState(
        firstOffset, records, retention, next, registered, listed, listRefreshAt, faults);
  }

  PlatformState withRegistered(TreePMap<InstanceId, Registration> next) {
    return new PlatformState(
        firstOffset, records, retention, waitingReads, next, listed, listRefreshAt, faults);
  }

  PlatformState withListed(TreePMap<InstanceId, Observation> next, long refreshAt) {
    return new PlatformState(
        firstOffset, records, retention, waitingReads, registered, next, refreshAt, faults);
  }

  PlatformState withFaults(Faults next) {
    return new PlatformState(
        firstOffset, records, retention, waitingReads, registered, listed, listRefreshAt, next);
  }
}
