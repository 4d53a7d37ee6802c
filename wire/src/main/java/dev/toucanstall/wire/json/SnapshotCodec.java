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

/**
 * Encodes the applied state as JSON, split into the parts of a snapshot, and decodes it. Stateless
 * and thread-safe.
 */
public final class SnapshotCodec {

  /** Maximum length of a part's text, in characters. */
  public static final int MAX_PART_CHARS = 64_000;

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
   * @param state the state
   * @param snapshot name of the snapshot
   * @return the parts of the snapshot in order
   */
  public static List<SnapshotPart> encode(AppliedState state, String snapshot) {
    String text = CODEC.encode(toDocument(state));
    int count = (text.length() + MAX_PART_CHARS - 1) / MAX_PART_CHARS;
    List<SnapshotPart> parts = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      int end = Math.min(text.length(), (i + 1) * MAX_PART_CHARS);
      String part = text.substring(i * MAX_PART_CHARS, end);
      parts.add(new SnapshotPart(snapshot, state.offset(), i, count, part));
    }
    return parts;
  }

  /**
   * Decodes a state.
   *
   * @param parts all parts of one snapshot, in any order
   * @return the state, or the reason why the snapshot is malformed or incomplete
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
      case Decoded.Value<Document> value -> toState(value.value());
    };
  }

  private static Document toDocument(AppliedState state) {
    Membership membership = state.membership();
    return new Document(
        state.offset(),
        state.tree().leaves().entrySet().stream()
            .map(
                e -> new LeafLine(e.getKey(), e.getValue().value(), e.getValue().changedAtOffset()))
            .toList(),
        state.tree().versions(),
        List.copyOf(membership.active().values()),
        membership.pending(),
        membership.acknowledged().stream().sorted().toList(),
        membership.epochs().stream().map(SnapshotCodec::toEpochLine).toList(),
        List.copyOf(state.fleet().instances().values()),
        state.producers().entrySet().stream()
            .map(e -> new ProducerLine(e.getKey(), e.getValue()))
            .toList(),
        state.history(),
        state.snapshotAt(),
        state.digest());
  }

  private static EpochLine toEpochLine(Epoch epoch) {
    Map<String, String> domains =
        epoch.domains().entrySet().stream()
            .collect(Collectors.toMap(e -> e.getKey().value(), e -> e.getValue().value()));
    return new EpochLine(epoch.number(), domains, epoch.evicted().orElse(null));
  }

  private static Decoded<AppliedState> toState(Document document) {
    try {
      SettingsTree tree = toTree(document);
      return new Decoded.Value<>(
          new AppliedState(
              document.offset,
              tree,
              SettingsReader.read(tree),
              toMembership(document),
              toFleet(document),
              toProducers(document),
              TreePVector.from(document.history),
              document.snapshotAt,
              document.digest));
    } catch (RuntimeException e) {
      return new Decoded.Malformed<>(ErrorMessages.firstLine(e));
    }
  }

  private static SettingsTree toTree(Document document) {
    TreePMap<String, Leaf> leaves = TreePMap.empty();
    for (LeafLine line : document.leaves) {
      leaves = leaves.plus(line.path, new Leaf(line.value, line.changedAt));
    }
    return new SettingsTree(leaves, HashTreePMap.from(document.versions));
  }

  private static Membership toMembership(Document document) {
    TreePMap<MemberId, Member> active = TreePMap.empty();
    for (Member member : document.active) {
      active = active.plus(member.id(), member);
    }
    return new Membership(
        active,
        TreePVector.from(document.pending),
        HashTreePSet.from(document.acknowledged),
        TreePVector.from(document.epochs.stream().map(SnapshotCodec::toEpoch).toList()));
  }

  private static Epoch toEpoch(EpochLine line) {
    TreePMap<MemberId, DomainId> domains = TreePMap.empty();
    for (Map.Entry<String, String> entry : line.domains.entrySet()) {
      domains = domains.plus(new MemberId(entry.getKey()), new DomainId(entry.getValue()));
    }
    return new Epoch(line.number, domains, Optional.ofNullable(line.evicted));
  }

  private static Fleet toFleet(Document document) {
    Fleet fleet = Fleet.EMPTY;
    for (FleetInstance instance : document.fleet) {
      fleet = fleet.with(instance);
    }
    return fleet;
  }

  private static TreePMap<String, AppliedState.ProducerMark> toProducers(Document document) {
    TreePMap<String, AppliedState.ProducerMark> producers = TreePMap.empty();
    for (ProducerLine line : document.producers) {
      producers = producers.plus(line.name, line.mark);
    }
    return producers;
  }
}
