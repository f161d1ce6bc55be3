/**
 * An event log that also keeps the most recent events of requests and the
 * current outages of the platform in memory. Both are derived from the events
 * that are logged, so callers report each decision only once.
 */
import {Clock, EVENTS, EventName} from '@sassafrasspan/core';
import type {EventLog, LogFields} from './log';

const DEFAULT_CAPACITY = 8_192;

/** An event that carried a request id. */
export interface DecisionEvent {
  readonly requestId: string;
  /** Wall-clock time. */
  readonly atMs: number;
  readonly event: EventName;
  /** Description of the event for a person. */
  readonly meaning: string;
  /** Fields of the event without the request id. */
  readonly fields: LogFields;
}

/** A part of the platform that does not respond. */
export interface PlatformOutage {
  /** Key of the stored object, or 'object API' when the event has no key. */
  readonly part: string;
  readonly sinceMs: number;
  readonly detail: string;
}

export interface DecisionLogOptions {
  /** Receives every event. */
  readonly log: EventLog;
  readonly clock: Clock;
  /** Number of events kept; the oldest ones are overwritten. */
  readonly capacity?: number;
}

/** Ring buffer of request events, in front of an event log. */
export class DecisionLog implements EventLog {
  private readonly ring: DecisionEvent[] = [];
  private nextIndex = 0;
  private readonly outages = new Map<string, PlatformOutage>();

  private constructor(private readonly options: DecisionLogOptions) {}

  static create(options: DecisionLogOptions): DecisionLog {
    return new DecisionLog(options);
  }

  writeEvent(name: EventName, fields: LogFields = {}): void {
    this.options.log.writeEvent(name, fields);
    this.trackOutage(name, fields);
    if (typeof fields.requestId !== 'string') return;
    const {requestId, ...others} = fields;
    this.addEvent({
      requestId,
      atMs: this.options.clock.readWallMs(),
      event: name,
      meaning: EVENTS[name].meaning,
      fields: others,
    });
  }

  private addEvent(event: DecisionEvent): void {
    const capacity = this.options.capacity ?? DEFAULT_CAPACITY;
    this.ring[this.nextIndex] = event;
    this.nextIndex = (this.nextIndex + 1) % capacity;
  }

  private trackOutage(name: EventName, fields: LogFields): void {
    const part = String(fields.key ?? 'object API');
    if (name === 'platform-up') this.outages.delete(part);
    if (name !== 'platform-down' || this.outages.has(part)) return;
    const sinceMs = this.options.clock.readWallMs();
    const detail = String(fields.detail ?? '');
    this.outages.set(part, {part, sinceMs, detail});
  }

  /**
   * Returns the kept events of all requests whose id starts with a prefix,
   * oldest first.
   */
  listDecisions(prefix: string): DecisionEvent[] {
    const ordered = [
      ...this.ring.slice(this.nextIndex),
      ...this.ring.slice(0, this.nextIndex),
    ];
    return ordered.filter(event => event.requestId.startsWith(prefix));
  }

  /** Lists the outages that have not ended, by time of their start. */
  listOutages(): PlatformOutage[] {
    return [...this.outages.values()];
  }
}
