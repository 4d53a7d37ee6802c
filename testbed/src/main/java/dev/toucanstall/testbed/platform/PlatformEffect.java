package dev.toucanstall.testbed.platform;

import dev.toucanstall.core.model.InstanceId;

/** Side effect of the stand-in for the platform. */
sealed interface PlatformEffect {

  /** Answers an HTTP request after a delay, 0 for none. */
  record Reply(long handle, int status, String body, long delayMillis) implements PlatformEffect {}

  /** Requests a restart from the host of an instance. */
  record RestartInstance(String controlUrl, InstanceId instance) implements PlatformEffect {}
}
