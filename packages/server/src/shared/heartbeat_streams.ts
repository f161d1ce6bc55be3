/**
 * The heartbeat streams that a node's watchers have open. What a watcher must
 * know soon, such as a node that is leaving, is sent without waiting for the
 * next interval.
 */
import {HEARTBEAT_INTERVAL_MS} from '@sassafrasspan/core';
import type {MessageWriter} from '@sassafrasspan/nodes';

/** Sends one node's heartbeats to whoever watches it. */
export class HeartbeatStreams<T> {
  private readonly writers = new Set<MessageWriter<T>>();
  private readonly timers = new Set<NodeJS.Timeout>();

  private constructor(private readonly createHeartbeat: () => T) {}

  /** Builds the streams of a node that nobody watches yet. */
  static create<T>(createHeartbeat: () => T): HeartbeatStreams<T> {
    return new HeartbeatStreams(createHeartbeat);
  }

  /** Starts a stream to one watcher. */
  addWatcher(writer: MessageWriter<T>): void {
    const sendHeartbeat = () => writer.send(this.createHeartbeat());
    const timer = setInterval(sendHeartbeat, HEARTBEAT_INTERVAL_MS);
    this.writers.add(writer);
    this.timers.add(timer);
    writer.addCloseListener(() => {
      clearInterval(timer);
      this.writers.delete(writer);
      this.timers.delete(timer);
    });
    sendHeartbeat();
  }

  /** Sends a heartbeat to every watcher at once. */
  sendNow(): void {
    const heartbeat = this.createHeartbeat();
    for (const writer of this.writers) writer.send(heartbeat);
  }

  /** Ends every stream. */
  close(): void {
    for (const timer of this.timers) clearInterval(timer);
    for (const writer of [...this.writers]) writer.end();
  }
}
