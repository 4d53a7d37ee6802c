package dev.toucanstall.core.fold;

import dev.toucanstall.core.model.Producer;
import dev.toucanstall.core.settings.Settings;
import dev.toucanstall.core.settings.SettingsTree;
import java.util.Objects;
import org.pcollections.PVector;
import org.pcollections.TreePMap;
import org.pcollections.TreePVector;

/**
 * State that every replica derives from the log alone. Immutable; equal on all replicas that have
 * folded up to the same offset.
 *
 * @param offset last folded offset, -1 if none
 * @param tree tree of settings as operators write it
 * @param settings typed view of the tree
 * @param membership members and pending changes of members
 * @param fleet instances of the fleet
 * @param producers last sequence numbers of recent producers, by name, to detect repeated records
 * @param history last accepted changes of settings, oldest first
 * @param snapshotAt last offset that the newest complete snapshot contains, -1 if none
 * @param digest running digest of the outcomes of all records, to detect diverged replicas
 */
public record AppliedState(
    long offset,
    SettingsTree tree,
    Settings settings,
    Membership membership,
    Fleet fleet,
    TreePMap<String, ProducerMark> producers,
    PVector<HistoryEntry> history,
    long snapshotAt,
    long digest) {

  /** Maximum number of producers; beyond it the least recently active is dropped. */
  public static final int MAX_PRODUCERS = 4_096;

  /** Maximum number of changes in the history; beyond it the oldest is dropped. */
  public static final int MAX_HISTORY = 256;

  /** State before the first record. */
  public static final AppliedState EMPTY =
      new AppliedState(
          -1,
          SettingsTree.EMPTY,
          Settings.EMPTY,
          Membership.EMPTY,
          Fleet.EMPTY,
          TreePMap.empty(),
          TreePVector.empty(),
          -1,
          0);

  /**
   * Sequence numbers seen of one producer. Records may arrive out of order within {@value #WINDOW}
   * sequence numbers; older ones count as repeated. Encoded in snapshots with its component names.
   *
   * @param incarnation last incarnation of the producer
   * @param highest highest sequence number of that incarnation
   * @param seen bit set of the last sequence numbers: bit n stands for {@code highest - n}
   * @param offset offset of the producer's last record
   */
  public record ProducerMark(long incarnation, long highest, long seen, long offset) {

    /** Size of the window below the highest sequence number in which late records are accepted. */
    public static final int WINDOW = 64;

    /** Tells whether a record of the producer counts as folded already. */
    boolean hasSeen(Producer producer, long sequence) {
      if (producer.incarnation() != incarnation) {
        return producer.incarnation() < incarnation;
      }
      long distance = highest - sequence;
      return distance >= WINDOW || (distance >= 0 && (seen >>> distance & 1) == 1);
    }

    ProducerMark plus(Producer producer, long sequence, long recordOffset) {
      if (producer.incarnation() != incarnation) {
        return first(producer, sequence, recordOffset);
      }
      long ahead = sequence - highest;
      if (ahead <= 0) {
        return new ProducerMark(incarnation, highest, seen | 1L << -ahead, recordOffset);
      }
      long shifted = ahead >= WINDOW ? 0 : seen << ahead;
      return new ProducerMark(incarnation, sequence, shifted | 1, recordOffset);
    }

    /** Returns the mark of the first record of a producer's incarnation. */
    static ProducerMark first(Producer producer, long sequence, long recordOffset) {
      return new ProducerMark(producer.incarnation(), sequence, 1, recordOffset);
    }
  }

  /**
   * Tells whether a record was folded already, so that another copy of it has no effect.
   *
   * @param producer writer of the record
   * @param sequence sequence number of the record
   * @return true if the record is a repeat, or too old to tell
   */
  public boolean hasFolded(Producer producer, long sequence) {
    ProducerMark mark = producers.get(producer.name());
    return mark != null && mark.hasSeen(producer, sequence);
  }

  AppliedState withOffset(long next) {
    return new AppliedState(
        next, tree, settings, membership, fleet, producers, history, snapshotAt, digest);
  }

  /** Returns a copy with the outcome of a record mixed into the digest. */
  AppliedState withOutcome(RecordOutcome outcome) {
    long code =
        switch (outcome) {
          case RecordOutcome.Accepted accepted -> 1;
          case RecordOutcome.Repeated repeated -> 2;
          case RecordOutcome.Refused refused -> 3;
        };
    long sizes = membership.active().size() * 31L + fleet.instances().size();
    long mixed = (digest ^ (offset * 4 + code)) * 0x9e3779b97f4a7c15L + sizes;
    return new AppliedState(
        offset,
        tree,
        settings,
        membership,
        fleet,
        producers,
        history,
        snapshotAt,
        mixed ^ (mixed >>> 29));
  }

  AppliedState withTree(SettingsTree nextTree, Settings nextSettings) {
    return new AppliedState(
        offset, nextTree, nextSettings, membership, fleet, producers, history, snapshotAt, digest);
  }

  AppliedState withMembership(Membership next) {
    return new AppliedState(
        offset, tree, settings, next, fleet, producers, history, snapshotAt, digest);
  }

  AppliedState withFleet(Fleet next) {
    return new AppliedState(
        offset, tree, settings, membership, next, producers, history, snapshotAt, digest);
  }

  AppliedState plusHistory(HistoryEntry entry) {
    PVector<HistoryEntry> retained = history.size() < MAX_HISTORY ? history : history.minus(0);
    return new AppliedState(
        offset,
        tree,
        settings,
        membership,
        fleet,
        producers,
        retained.plus(entry),
        snapshotAt,
        digest);
  }

  /** Returns a copy with the last offset of a complete snapshot; an older one is ignored. */
  AppliedState withSnapshotAt(long foldedTo) {
    return new AppliedState(
        offset,
        tree,
        settings,
        membership,
        fleet,
        producers,
        history,
        Math.max(snapshotAt, foldedTo),
        digest);
  }

  AppliedState withProducer(Producer producer, long sequence, long recordOffset) {
    ProducerMark previous = producers.get(producer.name());
    ProducerMark mark =
        previous == null
            ? ProducerMark.first(producer, sequence, recordOffset)
            : previous.plus(producer, sequence, recordOffset);
    TreePMap<String, ProducerMark> next = producers.plus(producer.name(), mark);
    if (next.size() > MAX_PRODUCERS) {
      next = next.minus(leastRecentProducer(next));
    }
    return new AppliedState(
        offset, tree, settings, membership, fleet, next, history, snapshotAt, digest);
  }

  private static String leastRecentProducer(TreePMap<String, ProducerMark> marks) {
    return marks.entrySet().stream()
        .min((a, b) -> Long.compare(a.getValue().offset(), b.getValue().offset()))
        .map(entry -> Objects.requireNonNull(entry.getKey()))
        .orElseThrow();
  }
}
