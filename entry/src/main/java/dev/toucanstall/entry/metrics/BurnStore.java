package dev.toucanstall.entry.metrics;

import dev.toucanstall.core.effect.Effect.CountRequest;
import dev.toucanstall.core.model.ObjectiveOutcome;
import dev.toucanstall.core.model.ServiceId;
import dev.toucanstall.core.model.TeamId;
import dev.toucanstall.wire.report.BurnCounts;
import dev.toucanstall.wire.report.BurnReport;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Arrays;
import java.util.Base64;
import java.util.Collection;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.stream.Stream;
import org.HdrHistogram.ConcurrentHistogram;

/**
 * Counts requests towards the objectives of their teams, in rings of buckets of growing length.
 * Thread-safe. The instances keep nothing on disk: what came before the start is not known.
 */
public final class BurnStore {

  private static final List<Tier> TIERS =
      List.of(
          new Tier(Duration.ofMinutes(1), 60),
          new Tier(Duration.ofMinutes(10), 36),
          new Tier(Duration.ofHours(1), 72));
  private static final List<Duration> WINDOWS =
      List.of(Duration.ofMinutes(5), Duration.ofHours(1), Duration.ofHours(6), Duration.ofDays(3));
  private static final long MAX_WAIT_MICROS = TimeUnit.HOURS.toMicros(1);
  private static final int DIGITS = 2;

  private final String instance;
  private final long startedAt;
  private final Map<Key, Series> series = new ConcurrentHashMap<>();

  /**
   * Creates an empty store.
   *
   * @param instance the entry instance
   * @param now the time in nanoseconds of the monotonic clock
   */
  public BurnStore(String instance, long now) {
    this.instance = instance;
    this.startedAt = now;
  }

  private record Tier(Duration length, int count) {}

  private record Key(TeamId team, ServiceId service) {}

  private record Bucket(
      long number,
      LongAdder total,
      LongAdder good,
      Map<String, LongAdder> reasons,
      Map<String, LongAdder> callers) {

    Bucket(long number) {
      this(
          number,
          new LongAdder(),
          new LongAdder(),
          new ConcurrentHashMap<>(),
          new ConcurrentHashMap<>());
    }

    void count(ObjectiveOutcome ending, String reason) {
      if (ending != ObjectiveOutcome.CALLERS_FAULT) {
        total.increment();
      }
      switch (ending) {
        case GOOD -> good.increment();
        case LATE -> add(reasons, "late");
        case BAD -> add(reasons, reason);
        default -> add(callers, reason);
      }
    }

    private static void add(Map<String, LongAdder> counts, String reason) {
      counts.computeIfAbsent(reason, r -> new LongAdder()).increment();
    }
  }

  private record Series(List<Deque<Bucket>> rings, ConcurrentHistogram waits) {

    Series() {
      this(
          TIERS.stream().map(t -> (Deque<Bucket>) new ConcurrentLinkedDeque<Bucket>()).toList(),
          new ConcurrentHistogram(MAX_WAIT_MICROS, DIGITS));
    }
  }

  /**
   * Counts a request.
   *
   * @param counted the request
   * @param now the time in nanoseconds of the monotonic clock
   */
  public void countRequest(CountRequest counted, long now) {
    Series one =
        series.computeIfAbsent(new Key(counted.team(), counted.service()), key -> new Series());
    long waitMicros = TimeUnit.NANOSECONDS.toMicros(Math.max(0, counted.waitedNanos()));
    if (counted.started()) {
      one.waits.recordValue(Math.min(waitMicros, MAX_WAIT_MICROS));
    }
    for (int i = 0; i < TIERS.size(); i++) {
      bucket(one.rings.get(i), TIERS.get(i), now).count(counted.outcome(), counted.reason());
    }
  }

  private Bucket bucket(Deque<Bucket> ring, Tier tier, long now) {
    long number = (now - startedAt) / tier.length.toNanos();
    Bucket last = ring.peekLast();
    if (last != null && last.number >= number) {
      return last;
    }
    Bucket next = new Bucket(number);
    ring.addLast(next);
    while (ring.size() > tier.count) {
      ring.pollFirst();
    }
    return next;
  }

  /**
   * Makes this instance's part of the burn report.
   *
   * @param now the time in nanoseconds of the monotonic clock
   * @return the report
   */
  public BurnReport report(long now) {
    long lived = TimeUnit.NANOSECONDS.toSeconds(now - startedAt);
    List<BurnReport.Line> lines =
        series.entrySet().stream()
            .map(entry -> line(entry.getKey(), entry.getValue(), now, lived))
            .toList();
    return new BurnReport(instance, lived, lines);
  }

  private BurnReport.Line line(Key key, Series one, long now, long lived) {
    List<BurnReport.Window> windows =
        WINDOWS.stream().map(window -> window(one, window, now, lived)).toList();
    return new BurnReport.Line(
        key.team.value(), key.service.value(), windows, minutes(one, now), encode(one.waits));
  }

  private BurnReport.Window window(Series one, Duration window, long now, long lived) {
    int i = tierFor(window);
    Tier tier = TIERS.get(i);
    long newest = (now - startedAt) / tier.length.toNanos();
    long oldest = newest - window.dividedBy(tier.length);
    BurnCounts counts =
        total(one.rings.get(i).stream().filter(bucket -> bucket.number > oldest).toList());
    long covered = Math.min(lived, window.toSeconds());
    return new BurnReport.Window(window.toSeconds(), covered, counts);
  }

  private static int tierFor(Duration window) {
    for (int i = 0; i < TIERS.size(); i++) {
      Tier tier = TIERS.get(i);
      if (tier.length.multipliedBy(tier.count).compareTo(window) >= 0) {
        return i;
      }
    }
    return TIERS.size() - 1;
  }

  private List<BurnReport.Window> minutes(Series one, long now) {
    long newest = (now - startedAt) / TIERS.get(0).length.toNanos();
    Map<Long, Bucket> byNumber = new TreeMap<>();
    one.rings.get(0).forEach(bucket -> byNumber.put(bucket.number, bucket));
    long seconds = TIERS.get(0).length.toSeconds();
    return Stream.iterate(
            Math.max(0, newest - TIERS.get(0).count + 1), n -> n <= newest, n -> n + 1)
        .map(n -> byNumber.getOrDefault(n, new Bucket(n)))
        .map(bucket -> new BurnReport.Window(seconds, seconds, total(List.of(bucket))))
        .toList();
  }

  private static BurnCounts total(Collection<Bucket> buckets) {
    long total = buckets.stream().mapToLong(bucket -> bucket.total.sum()).sum();
    long good = buckets.stream().mapToLong(bucket -> bucket.good.sum()).sum();
    return new BurnCounts(
        total,
        good,
        sum(buckets.stream().map(bucket -> bucket.reasons).toList()),
        sum(buckets.stream().map(bucket -> bucket.callers).toList()));
  }

  private static Map<String, Long> sum(List<Map<String, LongAdder>> counts) {
    Map<String, Long> sums = new TreeMap<>();
    counts.forEach(one -> one.forEach((name, n) -> sums.merge(name, n.sum(), Long::sum)));
    return sums;
  }

  private static String encode(ConcurrentHistogram histogram) {
    ByteBuffer buffer = ByteBuffer.allocate(histogram.getNeededByteBufferCapacity());
    int length = histogram.encodeIntoByteBuffer(buffer);
    return Base64.getEncoder().encodeToString(Arrays.copyOf(buffer.array(), length));
  }
}
