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
 * Counts requests towards the service-level objectives of their teams, in time buckets of several
 * lengths; of each length, only the newest buckets are retained. Thread-safe. Counts are kept in
 * memory only and start at 0 with the process.
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
  private static final int WAIT_SIGNIFICANT_DIGITS = 2;

  private final String instance;
  private final long startNanos;
  private final Map<Key, Series> seriesByKey = new ConcurrentHashMap<>();

  /**
   * Creates an empty store.
   *
   * @param instance the name of the entry instance
   * @param nowNanos the time of the monotonic clock, in nanoseconds
   */
  public BurnStore(String instance, long nowNanos) {
    this.instance = instance;
    this.startNanos = nowNanos;
  }

  private record Tier(Duration bucketLength, int bucketCount) {}

  private record Key(TeamId team, ServiceId service) {}

  private record Bucket(
      long index,
      LongAdder total,
      LongAdder good,
      Map<String, LongAdder> reasons,
      Map<String, LongAdder> callerFaults) {

    Bucket(long index) {
      this(
          index,
          new LongAdder(),
          new LongAdder(),
          new ConcurrentHashMap<>(),
          new ConcurrentHashMap<>());
    }

    void count(ObjectiveOutcome outcome, String reason) {
      if (outcome != ObjectiveOutcome.CALLERS_FAULT) {
        total.increment();
      }
      switch (outcome) {
        case GOOD -> good.increment();
        case LATE -> increment(reasons, "late");
        case BAD -> increment(reasons, reason);
        default -> increment(callerFaults, reason);
      }
    }

    private static void increment(Map<String, LongAdder> counts, String reason) {
      counts.computeIfAbsent(reason, r -> new LongAdder()).increment();
    }
  }

  private record Series(List<Deque<Bucket>> bucketsByTier, ConcurrentHistogram startWaits) {

    Series() {
      this(
          TIERS.stream().map(t -> (Deque<Bucket>) new ConcurrentLinkedDeque<Bucket>()).toList(),
          new ConcurrentHistogram(MAX_WAIT_MICROS, WAIT_SIGNIFICANT_DIGITS));
    }
  }

  /**
   * Counts a request that has ended and, if it was started, records its wait.
   *
   * @param request the outcome of the request
   * @param nowNanos the time of the monotonic clock, in nanoseconds
   */
  public void countRequest(CountRequest request, long nowNanos) {
    Series series =
        seriesByKey.computeIfAbsent(
            new Key(request.team(), request.service()), key -> new Series());
    long waitMicros = TimeUnit.NANOSECONDS.toMicros(Math.max(0, request.waitedNanos()));
    if (request.started()) {
      series.startWaits.recordValue(Math.min(waitMicros, MAX_WAIT_MICROS));
    }
    for (int i = 0; i < TIERS.size(); i++) {
      currentBucket(series.bucketsByTier.get(i), TIERS.get(i), nowNanos)
          .count(request.outcome(), request.reason());
    }
  }

  private Bucket currentBucket(Deque<Bucket> buckets, Tier tier, long nowNanos) {
    long index = (nowNanos - startNanos) / tier.bucketLength.toNanos();
    Bucket last = buckets.peekLast();
    if (last != null && last.index >= index) {
      return last;
    }
    Bucket next = new Bucket(index);
    buckets.addLast(next);
    while (buckets.size() > tier.bucketCount) {
      buckets.pollFirst();
    }
    return next;
  }

  /**
   * Returns this instance's part of the burn report.
   *
   * @param nowNanos the time of the monotonic clock, in nanoseconds
   * @return one line for each team and service with requests
   */
  public BurnReport report(long nowNanos) {
    long uptimeSeconds = TimeUnit.NANOSECONDS.toSeconds(nowNanos - startNanos);
    List<BurnReport.Line> lines =
        seriesByKey.entrySet().stream()
            .map(entry -> line(entry.getKey(), entry.getValue(), nowNanos, uptimeSeconds))
            .toList();
    return new BurnReport(instance, uptimeSeconds, lines);
  }

  private BurnReport.Line line(Key key, Series series, long nowNanos, long uptimeSeconds) {
    List<BurnReport.Window> windows =
        WINDOWS.stream().map(window -> window(series, window, nowNanos, uptimeSeconds)).toList();
    return new BurnReport.Line(
        key.team.value(),
        key.service.value(),
        windows,
        minuteWindows(series, nowNanos),
        encode(series.startWaits));
  }

  private BurnReport.Window window(
      Series series, Duration length, long nowNanos, long uptimeSeconds) {
    int tierIndex = tierIndexFor(length);
    Tier tier = TIERS.get(tierIndex);
    long newest = (nowNanos - startNanos) / tier.bucketLength.toNanos();
    long oldest = newest - length.dividedBy(tier.bucketLength);
    BurnCounts counts =
        sumBuckets(
            series.bucketsByTier.get(tierIndex).stream()
                .filter(bucket -> bucket.index > oldest)
                .toList());
    long coveredSeconds = Math.min(uptimeSeconds, length.toSeconds());
    return new BurnReport.Window(length.toSeconds(), coveredSeconds, counts);
  }

  private static int tierIndexFor(Duration window) {
    for (int i = 0; i < TIERS.size(); i++) {
      Tier tier = TIERS.get(i);
      if (tier.bucketLength.multipliedBy(tier.bucketCount).compareTo(window) >= 0) {
        return i;
      }
    }
    return TIERS.size() - 1;
  }

  private List<BurnReport.Window> minuteWindows(Series series, long nowNanos) {
    long newest = (nowNanos - startNanos) / TIERS.get(0).bucketLength.toNanos();
    Map<Long, Bucket> bucketsByIndex = new TreeMap<>();
    series.bucketsByTier.get(0).forEach(bucket -> bucketsByIndex.put(bucket.index, bucket));
    long bucketSeconds = TIERS.get(0).bucketLength.toSeconds();
    return Stream.iterate(
            Math.max(0, newest - TIERS.get(0).bucketCount + 1),
            index -> index <= newest,
            index -> index + 1)
        .map(index -> bucketsByIndex.getOrDefault(index, new Bucket(index)))
        .map(
            bucket ->
                new BurnReport.Window(bucketSeconds, bucketSeconds, sumBuckets(List.of(bucket))))
        .toList();
  }

  private static BurnCounts sumBuckets(Collection<Bucket> buckets) {
    long total = buckets.stream().mapToLong(bucket -> bucket.total.sum()).sum();
    long good = buckets.stream().mapToLong(bucket -> bucket.good.sum()).sum();
    return new BurnCounts(
        total,
        good,
        sumByReason(buckets.stream().map(bucket -> bucket.reasons).toList()),
        sumByReason(buckets.stream().map(bucket -> bucket.callerFaults).toList()));
  }

  private static Map<String, Long> sumByReason(List<Map<String, LongAdder>> counts) {
    Map<String, Long> sums = new TreeMap<>();
    counts.forEach(
        bucketCounts ->
            bucketCounts.forEach((reason, count) -> sums.merge(reason, count.sum(), Long::sum)));
    return sums;
  }

  private static String encode(ConcurrentHistogram histogram) {
    ByteBuffer buffer = ByteBuffer.allocate(histogram.getNeededByteBufferCapacity());
    int length = histogram.encodeIntoByteBuffer(buffer);
    return Base64.getEncoder().encodeToString(Arrays.copyOf(buffer.array(), length));
  }
}
