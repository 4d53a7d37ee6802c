package dev.toucanstall.testbed.platform;

import dev.toucanstall.core.model.InstanceId;

/** What the stand-in for the platform is to do. */
sealed interface PlatformEffect {

  /** Answers a request. */
  record Reply(long handle, int status, String body, long delayMillis) implements PlatformEffect {}

  /** Asks the host of an instance to restart it. */
  record RestartInstance(String controlUrl, InstanceId instance) implements PlatformEffect {}
}
