/**
 * Heartbeat streams from a node to the nodes that watch it. Urgent changes, such
 * as the node leaving, are sent without waiting for the next interval.
 */
import {HEARTBEAT_INTERVAL_MS} from '@sassafrasspan/core';
import type {MessageWriter} from '@sassafrasspan/nodes';

/** Sends the heartbeats of one node to all its watchers. */
export class HeartbeatStreams<T> {
  private readonly writers = new Set<MessageWriter<T>>();
  private readonly timers = new Set<NodeJS.Timeout>();

  private constructor(private readonly createHeartbeat: () => T) {}

  static create<T>(createHeartbeat: () => T): HeartbeatStreams<T> {
    return new HeartbeatStreams(createHeartbeat);
  }

  /** Sends a heartbeat at once and then periodically until the stream closes. */
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

  /** Sends a heartbeat to every watcher without waiting for the interval. */
  sendNow(): void {
    const heartbeat = this.createHeartbeat();
    for (const writer of this.writers) writer.send(heartbeat);
  }

  /** Stops all timers and ends every stream. */
  close(): void {
    for (const timer of this.timers) clearInterval(timer);
    for (const writer of [...this.writers]) writer.end();
  }
}
