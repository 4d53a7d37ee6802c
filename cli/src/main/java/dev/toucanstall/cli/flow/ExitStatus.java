package dev.toucanstall.cli.flow;

/** Exit statuses of the command line. */
public final class ExitStatus {

  /** The command succeeded. */
  public static final int SUCCESS = 0;

  /** The command was refused and had no effect. */
  public static final int REFUSED = 1;

  /** The command line is malformed. */
  public static final int USAGE = 2;

  /** The command may have taken effect. */
  public static final int UNCERTAIN = 3;

  /** No entry instance answered, and the command had no effect. */
  public static final int UNREACHABLE = 4;

  private ExitStatus() {}
}
