package dev.toucanstall.testbed.platform;

import dev.toucanstall.core.model.InstanceId;
import dev.toucanstall.core.record.Observation;
import org.pcollections.TreePMap;
import org.pcollections.TreePVector;

/**
 * The state of the stand-in for the platform. Immutable.
 *
 * @param first the oldest offset that is kept
 * @param records the kept records
 * @param retention how many records are kept
 * @param readers reads that wait for a record
 * @param live the instances as they are
 * @param listed the instances as the list shows them, with a lag
 * @param listDueAt when the list shows the instances as they are again
 * @param faults the faults in force
 */
record PlatformState(
    long first,
    TreePVector<String> records,
    int retention,
    TreePMap<Long, Reader> readers,
    TreePMap<InstanceId, Live> live,
    TreePMap<InstanceId, Observation> listed,
    long listDueAt,
    Faults faults) {

  /**
   * A read that waits.
   *
   * @param from the first offset wanted
   * @param max the most records wanted
   * @param until how long it waits
   */
  record Reader(long from, int max, long until) {}

  /**
   * An instance.
   *
   * @param observation what it says of itself
   * @param control the URL that restarts it
   * @param heardAt when it last said so
   */
  record Live(Observation observation, String control, long heardAt) {}

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

  long end() {
    return first + records.size();
  }

  PlatformState plusRecord(String text) {
    boolean full = records.size() >= retention;
    TreePVector<String> kept = full ? records.minus(0) : records;
    return new PlatformState(
        full ? first + 1 : first,
        kept.plus(text),
        retention,
        readers,
        live,
        listed,
        listDueAt,
        faults);
  }

  PlatformState withReaders(TreePMap<Long, Reader> next) {
    return new PlatformState(first, records, retention, next, live, listed, listDueAt, faults);
  }

  PlatformState withLive(TreePMap<InstanceId, Live> next) {
    return new PlatformState(first, records, retention, readers, next, listed, listDueAt, faults);
  }

  PlatformState withListed(TreePMap<InstanceId, Observation> next, long dueAt) {
    return new PlatformState(first, records, retention, readers, live, next, dueAt, faults);
  }

  PlatformState withFaults(Faults next) {
    return new PlatformState(first, records, retention, readers, live, listed, listDueAt, next);
  }
}
