package dev.toucanstall.core.fold;

import dev.toucanstall.core.model.Producer;
import dev.toucanstall.core.settings.Settings;
import dev.toucanstall.core.settings.SettingsTree;
import java.util.Objects;
import org.pcollections.PVector;
import org.pcollections.TreePMap;
import org.pcollections.TreePVector;

/**
 * The state that every replica derives from the log alone. Immutable; equal on all replicas that
 * folded up to the same offset.
 *
 * @param offset the last folded offset, -1 if none
 * @param tree the operators' tree
 * @param settings the typed view of the tree
 * @param membership the members
 * @param fleet the instances of the fleet
 * @param producers the last sequence number of each recent producer
 * @param history the last accepted changes of settings, oldest first
 * @param snapshotAt the offset up to which the newest complete snapshot reaches, -1 if none
 * @param digest a running digest of what became of every record
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

  /** Most producers whose last sequence number is kept. */
  public static final int MAX_PRODUCERS = 4_096;

  /** Most changes kept in the history. */
  public static final int MAX_HISTORY = 256;

  /** The state before the first record. */
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
   * The last records of a producer. Records may arrive out of order within {@value #WINDOW}
   * numbers; older numbers count as repeats.
   *
   * @param incarnation the producer's last start
   * @param highest the highest sequence number of that start
   * @param seen a bit for each of the last numbers: bit n stands for {@code highest - n}
   * @param offset the offset of its last record
   */
  public record ProducerMark(long incarnation, long highest, long seen, long offset) {

    /** How many numbers back an unseen record is still taken. */
    public static final int WINDOW = 64;

    /** Tells whether a record of the producer was folded already. */
    boolean covers(Producer producer, long number) {
      if (producer.incarnation() != incarnation) {
        return producer.incarnation() < incarnation;
      }
      long back = highest - number;
      return back >= WINDOW || (back >= 0 && (seen >>> back & 1) == 1);
    }

    /** Returns the mark with one more record seen. */
    ProducerMark plus(Producer producer, long number, long at) {
      if (producer.incarnation() != incarnation) {
        return first(producer, number, at);
      }
      long ahead = number - highest;
      if (ahead <= 0) {
        return new ProducerMark(incarnation, highest, seen | 1L << -ahead, at);
      }
      long shifted = ahead >= WINDOW ? 0 : seen << ahead;
      return new ProducerMark(incarnation, number, shifted | 1, at);
    }

    /** Returns the mark of a producer's first record. */
    static ProducerMark first(Producer producer, long number, long at) {
      return new ProducerMark(producer.incarnation(), number, 1, at);
    }
  }

  /**
   * Tells whether a record was folded already.
   *
   * @param producer who wrote it
   * @param sequence its number
   * @return true if so
   */
  public boolean hasFolded(Producer producer, long sequence) {
    ProducerMark mark = producers.get(producer.name());
    return mark != null && mark.covers(producer, sequence);
  }

  /** Returns the state with the offset moved on. */
  AppliedState at(long next) {
    return new AppliedState(
        next, tree, settings, membership, fleet, producers, history, snapshotAt, digest);
  }

  /** Returns the state with what became of a record mixed into the digest. */
  AppliedState withDigestOf(RecordOutcome outcome) {
    long code =
        switch (outcome) {
          case RecordOutcome.Accepted applied -> 1;
          case RecordOutcome.Repeated repeated -> 2;
          case RecordOutcome.Refused refused -> 3;
        };
    long parts = membership.active().size() * 31L + fleet.instances().size();
    long mixed = (digest ^ (offset * 4 + code)) * 0x9e3779b97f4a7c15L + parts;
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

  /** Returns the state with another tree and its typed view. */
  AppliedState withTree(SettingsTree nextTree, Settings nextSettings) {
    return new AppliedState(
        offset, nextTree, nextSettings, membership, fleet, producers, history, snapshotAt, digest);
  }

  /** Returns the state with other members. */
  AppliedState withMembership(Membership next) {
    return new AppliedState(
        offset, tree, settings, next, fleet, producers, history, snapshotAt, digest);
  }

  /** Returns the state with another fleet. */
  AppliedState withFleet(Fleet next) {
    return new AppliedState(
        offset, tree, settings, membership, next, producers, history, snapshotAt, digest);
  }

  /** Returns the state with a change added to the history. */
  AppliedState withHistory(HistoryEntry entry) {
    PVector<HistoryEntry> kept = history.size() < MAX_HISTORY ? history : history.minus(0);
    return new AppliedState(
        offset, tree, settings, membership, fleet, producers, kept.plus(entry), snapshotAt, digest);
  }

  /** Returns the state with a newer snapshot noted. */
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

  /** Returns the state with a producer's last record noted; the oldest producer may be dropped. */
  AppliedState withProducer(Producer producer, long sequence, long at) {
    ProducerMark known = producers.get(producer.name());
    ProducerMark mark =
        known == null
            ? ProducerMark.first(producer, sequence, at)
            : known.plus(producer, sequence, at);
    TreePMap<String, ProducerMark> next = producers.plus(producer.name(), mark);
    if (next.size() > MAX_PRODUCERS) {
      next = next.minus(oldest(next));
    }
    return new AppliedState(
        offset, tree, settings, membership, fleet, next, history, snapshotAt, digest);
  }

  private static String oldest(TreePMap<String, ProducerMark> marks) {
    return marks.entrySet().stream()
        .min((a, b) -> Long.compare(a.getValue().offset(), b.getValue().offset()))
        .map(entry -> Objects.requireNonNull(entry.getKey()))
        .orElseThrow();
  }
}
