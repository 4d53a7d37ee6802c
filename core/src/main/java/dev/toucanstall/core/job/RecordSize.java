package dev.toucanstall.core.job;

import java.util.List;
import java.util.stream.Stream;

/**
 * Upper bounds for the size of stored records, so that decisions about limits need no encoding.
 * Stateless.
 */
public final class RecordSize {

  /** Bytes of a record with its length, its key and its kind, without its fields. */
  private static final int RECORD_BYTES = 320;

  /** Bytes of an encoded number, truth value or name of a phase. */
  private static final int SCALAR_BYTES = 12;

  /** Bytes of the length of a text or a list. */
  private static final int LENGTH_BYTES = 5;

  /** Most bytes of UTF-8 for a character of a text. */
  private static final int BYTES_PER_CHARACTER = 3;

  private static final int SCALARS_OF_STEP = 16;
  private static final int SCALARS_OF_TASK = 7;

  /** Bytes of an order to maintain a machine without its texts: field names and the wave. */
  private static final int ORDER_BYTES = 32 + SCALAR_BYTES;

  /** Bytes of a start of a run without its texts: field names and numbers. */
  private static final int START_BYTES = 48 + 4 * SCALAR_BYTES;

  private RecordSize() {}

  /**
   * Returns an upper bound for the size of a record in the store.
   *
   * @param record the record
   * @return the bound in bytes
   */
  public static int maxBytes(JobRecord record) {
    return RECORD_BYTES + fieldBytes(record);
  }

  private static int fieldBytes(JobRecord record) {
    return switch (record) {
      case JobRecord.Submitted submitted -> submittedBytes(submitted);
      case JobRecord.Progress progress -> taskBytes(progress.tasks());
      case JobRecord.ProgressPart part -> taskBytes(part.tasks());
      case JobRecord.Closed closed -> textBytes(Stream.of(closed.queue()));
      case JobRecord.Forgotten forgotten -> 0;
      case JobRecord.WaveProgress wave -> textBytes(wave.begun().stream());
      case JobRecord.OpenMoves moves ->
          textBytes(moves.moves().stream().flatMap(RecordSize::names));
      case JobRecord.FormerClockLeases leases -> textBytes(leases.servers().stream());
      case JobRecord.UnaccountedStarts unaccounted ->
          textBytes(Stream.of(unaccounted.server()))
              + unaccounted.starts().size() * START_BYTES
              + textBytes(unaccounted.starts().stream().map(JobRecord.UnaccountedStart::job));
      case JobRecord.OpenMaintenance open ->
          open.orders().size() * ORDER_BYTES
              + textBytes(open.orders().stream().flatMap(o -> Stream.of(o.machine(), o.server())));
    };
  }

  private static Stream<String> names(JobRecord.MachineMove move) {
    return Stream.of(move.machine(), move.service(), move.server());
  }

  private static int submittedBytes(JobRecord.Submitted submitted) {
    JobSpec spec = submitted.spec();
    return textBytes(
            Stream.of(submitted.queue(), submitted.service(), submitted.account(), spec.text()))
        + 3 * SCALAR_BYTES
        + spec.steps().stream().mapToInt(RecordSize::stepBytes).sum();
  }

  private static int stepBytes(StepSpec step) {
    return SCALARS_OF_STEP * SCALAR_BYTES
        + step.after().size() * LENGTH_BYTES
        + textBytes(Stream.of(step.label(), step.rack(), step.image()));
  }

  private static int taskBytes(List<JobRecord.TaskProgress> tasks) {
    return tasks.stream()
        .mapToInt(
            task ->
                SCALARS_OF_TASK * SCALAR_BYTES
                    + textBytes(Stream.of(task.server(), task.address(), task.saved())))
        .sum();
  }

  private static int textBytes(Stream<String> texts) {
    return texts.mapToInt(t -> LENGTH_BYTES + BYTES_PER_CHARACTER * t.length()).sum();
  }
}
