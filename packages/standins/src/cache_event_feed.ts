/**
 * Prefix-cache events of the stand-in engine: numbered consecutively,
 * published with a delay, and with gaps where an event is lost.
 */

/** A change of the prefix cache. */
export interface CacheEvent {
  /** Consecutive number, from 1; a missing number means a lost event. */
  readonly sequence: number;
  readonly kind: 'stored' | 'evicted' | 'cleared';
  /** The affected prompt; empty for `cleared`. */
  readonly prompt: string;
}

interface TimestampedEvent extends CacheEvent {
  readonly atMs: number;
}

export class CacheEventFeed {
  /** Delay before an event is published, in ms. */
  lagMs = 0;
  /** Every n-th event is lost; 0 for none. */
  dropEvery = 0;
  private readonly events: TimestampedEvent[] = [];
  private sequence = 0;

  private constructor() {}

  static create(): CacheEventFeed {
    return new CacheEventFeed();
  }

  /** Records an event, or drops it according to `dropEvery`. */
  addEvent(kind: CacheEvent['kind'], prompt: string, atMs: number): void {
    this.sequence += 1;
    const {sequence, dropEvery} = this;
    if (dropEvery > 0 && sequence % dropEvery === 0) return;
    this.events.push({sequence, kind, prompt, atMs});
  }

  /** Returns the events published by now, from the number after `after`. */
  listEvents(after: number, nowMs: number): CacheEvent[] {
    return this.events
      .filter(event => event.sequence > after)
      .filter(event => event.atMs + this.lagMs <= nowMs)
      .map(({sequence, kind, prompt}) => ({sequence, kind, prompt}));
  }
}
