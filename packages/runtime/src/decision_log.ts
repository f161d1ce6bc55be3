/**
 * An event log that also remembers, within bounds, what was decided for each
 * request and which parts of the platform do not answer. Fed by the same
 * events that are written, so that decisions need no second report.
 */
import {Clock, EVENTS, EventName} from '@sassafrasspan/core';
import type {EventLog, LogFields} from './log';

const DEFAULT_CAPACITY = 8_192;

/** One event of a request. */
export interface DecisionEvent {
  readonly requestId: string;
  readonly atMs: number;
  readonly event: EventName;
  readonly meaning: string;
  readonly fields: LogFields;
}

/** A part of the platform that does not answer. */
export interface PlatformOutage {
  readonly part: string;
  readonly sinceMs: number;
  readonly detail: string;
}

/** What a decision log is built from. */
export interface DecisionLogOptions {
  readonly log: EventLog;
  readonly clock: Clock;
  /** Events that are remembered. */
  readonly capacity?: number;
}

/** Remembers recent events of requests. */
export class DecisionLog implements EventLog {
  private readonly ring: DecisionEvent[] = [];
  private nextIndex = 0;
  private readonly outages = new Map<string, PlatformOutage>();

  private constructor(private readonly options: DecisionLogOptions) {}

  /** Builds a log that remembers nothing yet. */
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
   * Returns the remembered events of the requests whose id begins with a
   * prefix, oldest first.
   */
  listDecisions(prefix: string): DecisionEvent[] {
    const ordered = [
      ...this.ring.slice(this.nextIndex),
      ...this.ring.slice(0, this.nextIndex),
    ];
    return ordered.filter(event => event.requestId.startsWith(prefix));
  }

  /** Lists the parts of the platform that do not answer. */
  listOutages(): PlatformOutage[] {
    return [...this.outages.values()];
  }
}
