package dev.toucanstall.wire.json;

import dev.toucanstall.core.fold.AppliedState;
import dev.toucanstall.core.fold.Epoch;
import dev.toucanstall.core.fold.Fleet;
import dev.toucanstall.core.fold.FleetInstance;
import dev.toucanstall.core.fold.HistoryEntry;
import dev.toucanstall.core.fold.MemberChange;
import dev.toucanstall.core.fold.Membership;
import dev.toucanstall.core.model.DomainId;
import dev.toucanstall.core.model.MemberId;
import dev.toucanstall.core.record.Member;
import dev.toucanstall.core.record.RecordBody.SnapshotPart;
import dev.toucanstall.core.settings.Leaf;
import dev.toucanstall.core.settings.SettingsReader;
import dev.toucanstall.core.settings.SettingsTree;
import dev.toucanstall.wire.Decoded;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.pcollections.HashTreePMap;
import org.pcollections.HashTreePSet;
import org.pcollections.TreePMap;
import org.pcollections.TreePVector;

/** The text of a snapshot of the folded state, cut into parts. Stateless and thread-safe. */
public final class SnapshotCodec {

  /** Longest part in characters. */
  public static final int PART_LENGTH = 64_000;

  private static final JsonCodec<Document> CODEC = JsonCodec.of(Document.class);

  private SnapshotCodec() {}

  private record LeafLine(String path, String value, long changedAt) {}

  private record EpochLine(long number, Map<String, String> domains, @Nullable MemberId evicted) {}

  private record ProducerLine(String name, AppliedState.ProducerMark mark) {}

  private record Document(
      long offset,
      List<LeafLine> leaves,
      Map<String, Long> versions,
      List<Member> active,
      List<MemberChange> pending,
      List<MemberId> acknowledged,
      List<EpochLine> epochs,
      List<FleetInstance> fleet,
      List<ProducerLine> producers,
      List<HistoryEntry> history,
      long snapshotAt,
      long digest) {}

  /**
   * Encodes a state.
   *
   * @param folded the state
   * @param name the name of the snapshot
   * @return its parts in order
   */
  public static List<SnapshotPart> encode(AppliedState folded, String name) {
    String text = CODEC.encode(document(folded));
    int count = (text.length() + PART_LENGTH - 1) / PART_LENGTH;
    List<SnapshotPart> parts = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      int end = Math.min(text.length(), (i + 1) * PART_LENGTH);
      String part = text.substring(i * PART_LENGTH, end);
      parts.add(new SnapshotPart(name, folded.offset(), i, count, part));
    }
    return parts;
  }

  /**
   * Decodes a state.
   *
   * @param parts all parts of one snapshot, in any order
   * @return the state, or why the snapshot is malformed
   */
  public static Decoded<AppliedState> decode(List<SnapshotPart> parts) {
    List<SnapshotPart> ordered =
        parts.stream().sorted(Comparator.comparingInt(SnapshotPart::index)).toList();
    for (int i = 0; i < ordered.size(); i++) {
      if (ordered.get(i).index() != i || ordered.get(i).count() != ordered.size()) {
        return new Decoded.Malformed<>("part %d of the snapshot is missing".formatted(i));
      }
    }
    String text = ordered.stream().map(SnapshotPart::text).collect(Collectors.joining());
    return switch (CODEC.decode(text)) {
      case Decoded.Malformed<Document> malformed -> new Decoded.Malformed<>(malformed.reason());
      case Decoded.Value<Document> value -> restore(value.value());
    };
  }

  private static Document document(AppliedState folded) {
    Membership membership = folded.membership();
    return new Document(
        folded.offset(),
        folded.tree().leaves().entrySet().stream()
            .map(
                e -> new LeafLine(e.getKey(), e.getValue().value(), e.getValue().changedAtOffset()))
            .toList(),
        folded.tree().versions(),
        List.copyOf(membership.active().values()),
        membership.pending(),
        membership.acknowledged().stream().sorted().toList(),
        membership.epochs().stream().map(SnapshotCodec::line).toList(),
        List.copyOf(folded.fleet().instances().values()),
        folded.producers().entrySet().stream()
            .map(e -> new ProducerLine(e.getKey(), e.getValue()))
            .toList(),
        folded.history(),
        folded.snapshotAt(),
        folded.digest());
  }

  private static EpochLine line(Epoch epoch) {
    Map<String, String> domains =
        epoch.domains().entrySet().stream()
            .collect(Collectors.toMap(e -> e.getKey().value(), e -> e.getValue().value()));
    return new EpochLine(epoch.number(), domains, epoch.evicted().orElse(null));
  }

  private static Decoded<AppliedState> restore(Document document) {
    try {
      SettingsTree tree = tree(document);
      return new Decoded.Value<>(
          new AppliedState(
              document.offset,
              tree,
              SettingsReader.read(tree),
              membership(document),
              fleet(document),
              producers(document),
              TreePVector.from(document.history),
              document.snapshotAt,
              document.digest));
    } catch (RuntimeException e) {
      return new Decoded.Malformed<>(Messages.firstLine(e));
    }
  }

  private static SettingsTree tree(Document document) {
    TreePMap<String, Leaf> leaves = TreePMap.empty();
    for (LeafLine line : document.leaves) {
      leaves = leaves.plus(line.path, new Leaf(line.value, line.changedAt));
    }
    return new SettingsTree(leaves, HashTreePMap.from(document.versions));
  }

  private static Membership membership(Document document) {
    TreePMap<MemberId, Member> active = TreePMap.empty();
    for (Member member : document.active) {
      active = active.plus(member.id(), member);
    }
    return new Membership(
        active,
        TreePVector.from(document.pending),
        HashTreePSet.from(document.acknowledged),
        TreePVector.from(document.epochs.stream().map(SnapshotCodec::epoch).toList()));
  }

  private static Epoch epoch(EpochLine line) {
    TreePMap<MemberId, DomainId> domains = TreePMap.empty();
    for (Map.Entry<String, String> entry : line.domains.entrySet()) {
      domains = domains.plus(new MemberId(entry.getKey()), new DomainId(entry.getValue()));
    }
    return new Epoch(line.number, domains, Optional.ofNullable(line.evicted));
  }

  private static Fleet fleet(Document document) {
    Fleet fleet = Fleet.EMPTY;
    for (FleetInstance instance : document.fleet) {
      fleet = fleet.with(instance);
    }
    return fleet;
  }

  private static TreePMap<String, AppliedState.ProducerMark> producers(Document document) {
    TreePMap<String, AppliedState.ProducerMark> producers = TreePMap.empty();
    for (ProducerLine line : document.producers) {
      producers = producers.plus(line.name, line.mark);
    }
    return producers;
  }
}
