import java.nio.file.Path;
import java.util.List;
import java.util.Random;

/** A job of two steps comes; with trouble, its second step is a large one. */
final class LargeJobCase implements JobsCase.Trouble {
  private static final int USUAL_COUNT = 600;
  private static final int LARGE_COUNT = 18_000;

  /** Longer than {@code finish_s}: the large job gets more time than the rule demands. */
  private static final int FINISH_MS = 35_000;

  private final int count;

  private LargeJobCase(int count) {
    this.count = count;
  }

  public static void main(String[] args) {
    JobsCase.Trouble job = new LargeJobCase(Lab.hasTrouble() ? LARGE_COUNT : USUAL_COUNT);
    Lab.exitWith(() -> JobsCase.run(Path.of(args[0]), Path.of(args[1]), job, FINISH_MS));
  }

  @Override
  public String strike(
      Lab.Platform platform, Lab.Client client, List<Lab.Entry> entries, Lab.Record record)
      throws InterruptedException {
    String path = "/beta/" + JobsCase.newId(new Random());
    String body =
        ("{\"spec\":\"ms=200 cpu=20\",\"steps\":[{\"count\":8,\"cpu\":20,\"memMb\":4,\"estimateMs\":200},"
                + "{\"count\":%d,\"cpu\":20,\"memMb\":4,\"estimateMs\":200,\"dependsOn\":[0]}]}")
            .formatted(count);
    record.add("client: a job of 8 work items and then %d, of 0.02 cores and 0.2 s each", count);
    return client.call("POST", path, body).status() == 200 ? path : "";
  }
}
