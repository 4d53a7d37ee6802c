package dev.toucanstall.testbed.soak;

/** How a link between an entry instance and a backend server or the store behaves. */
enum LinkMode {
  /** Bytes pass at once. */
  PASS,
  /** Bytes pass after a delay. */
  DELAY,
  /** Nothing passes and nothing is refused; what was sent arrives when the cut ends. */
  SILENT,
  /** Connections are reset and new ones refused. */
  RESET,
  /** Open connections are silent and new ones refused. */
  REFUSE
}
