import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.List;

/**
 * An entry of another writer lies among the workers' entries when the processes start. Its address
 * can't be read as one.
 */
final class ForeignEntryCase implements JobsCase.Trouble {
  private ForeignEntryCase() {}

  public static void main(String[] args) {
    JobsCase.Trouble entry = Lab.hasTrouble() ? new ForeignEntryCase() : null;
    Lab.exitWith(
        () -> JobsCase.run(Path.of(args[0]), Path.of(args[1]), entry, JobsCase.FINISH_MS));
  }

  @Override
  public void beforeStart(Lab.Platform platform, Lab.Record record) {
    ObjectNode entry = Lab.JSON.createObjectNode();
    entry.put("upstream", "alpha").put("address", "127.0.0.1, 127.0.0.2:8180").put("zone", "zone-a");
    entry.put("version", "v1").put("slots", 8).put("state", "ready").put("coldRemainingMs", 0);
    entry.put("sequence", 1);
    entry.putObject("capacity").put("cpu", 64_000).put("memMb", 131_072);
    record.add("store: another writer writes the entry a-1 %s", entry);
    platform.put("keyed.servers", "a-1", entry);
  }

  @Override
  public String strike(
      Lab.Platform platform, Lab.Client client, List<Lab.Entry> entries, Lab.Record record) {
    return "";
  }
}
