package dev.toucanstall.testbed.platform;

import dev.toucanstall.core.model.InstanceId;
import dev.toucanstall.core.record.Observation;
import org.pcollections.TreePMap;
import org.pcollections.TreePVector;

/**
 * The state of the stand-in for the platform. Immutable.
 *
 * @param firstOffset the oldest offset that is kept
 * @param records the kept records
 * @param retention how many records are kept
 * @param waitingReads reads that wait for a record
 * @param registered the instances as they are
 * @param listed the instances as the list shows them, with a lag
 * @param listRefreshAt when the list shows the instances as they are again
 * @param faults the faults in force
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
   * A read that waits.
   *
   * @param fromOffset the first offset wanted
   * @param maxRecords the most records wanted
   * @param deadline how long it waits
   */
  record WaitingRead(long fromOffset, int maxRecords, long deadline) {}

  /**
   * An instance.
   *
   * @param observation what it says of itself
   * @param controlUrl the URL that restarts it
   * @param renewedAt when it last said so
   */
  record Registration(Observation observation, String controlUrl, long renewedAt) {}

  /**
   * Faults, each in force until a time.
   *
   * @param logDownUntil the log answers nothing
   * @param logSlowUntil the log answers late
   * @param loseAnswersUntil appends take effect but their answers are lost
   * @param listDownUntil the list answers nothing
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
