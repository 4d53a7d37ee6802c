package dev.toucanstall.testbed.soak;

/** A fault of the plan; who it hits is chosen when it begins. All times are in milliseconds. */
sealed interface Fault {

  /** Which entry instances a fault concerns. */
  enum Scope {
    ALL,
    PLANNER,
    ALL_BUT_PLANNER,
    HALF
  }

  /** How the store refuses calls. */
  enum Refusal {
    UNAVAILABLE,
    TOO_MANY,
    BREAK_CONNECTION
  }

  /** The planner is killed and starts again later. */
  record KillPlanner(long downMs) implements Fault {}

  /** The planner is stopped by SIGSTOP and goes on later. */
  record FreezePlanner(long frozenMs) implements Fault {}

  /** Links to backend servers are cut; the servers run on, and report to the store if asked to. */
  record CutServers(LinkMode mode, double share, Scope scope, boolean alsoFromStore, long cutMs)
      implements Fault {}

  /**
   * Links of all entry instances to the backend servers that have started a short time ago are cut;
   * the servers run on and don't report.
   */
  record CutStarted(LinkMode mode, long upMs, long cutMs) implements Fault {}

  /** Backend servers end and start again, under the same id or as new ones. */
  record CrashServers(int count, boolean sameId, boolean silent, long downMs) implements Fault {}

  /** A backend server is gone until the faults end; then a new one starts in its place. */
  record LoseServer(boolean silent) implements Fault {}

  /** The store refuses calls of some entry instances; if of all, then also servers' reports. */
  record RefuseStore(Refusal refusal, Scope scope, long refusedMs) implements Fault {}

  /** The store is cut off from some entry instances. */
  record CutStore(LinkMode mode, Scope scope, long cutMs) implements Fault {}

  /** Orders to some backend servers are carried out late and not answered. */
  record HoldOrders(double share, long windowMs, long lateMs) implements Fault {}

  /** The group names another member without any request. */
  record ReassignGroup() implements Fault {}
}
