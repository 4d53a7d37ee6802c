package dev.toucanstall.cli.flow;

/** The exit statuses of the command line. */
public final class ExitStatus {

  /** The command did what it says. */
  public static final int DONE = 0;

  /** The command was refused and has no effect. */
  public static final int REFUSED = 1;

  /** The command line is malformed. */
  public static final int USAGE = 2;

  /** The command may have taken effect. */
  public static final int UNCERTAIN = 3;

  /** No entry instance answered, and the command has no effect. */
  public static final int UNREACHABLE = 4;

  private ExitStatus() {}
}
