/**
 * Decides which connections of clients a process keeps. When as many are open as
 * it may have, the one that makes the least progress gives way to the next; if all
 * have a request that runs, the next is refused.
 *
 * The load it answers: as many connections as a stranger can open, most without a
 * request, some with a request that does not end or an answer that is not read,
 * and part of them leaving early and coming again, beside callers that send a
 * request as soon as they are connected.
 */
import {PaceMeter} from './pace_meter';

/** Age at which a connection without a request, and lag at which one with a body
 * or an answer, comes before connections that are idle between requests. */
const PATIENCE_MS = 1_000;

/**
 * What a connection does: `unstarted` has had no complete head, `idle` is between
 * two requests, `body` sends one, `running` waits for an answer and `answer` reads
 * it.
 */
export type ConnectionStage =
  'unstarted' | 'idle' | 'body' | 'running' | 'answer';

interface OpenConnection {
  readonly address: string;
  stage: ConnectionStage;
  stageAtMs: number;
  pace: PaceMeter;
}

/** A connection that gives way, and why. */
export interface Eviction {
  readonly id: number;
  readonly stage: ConnectionStage;
  readonly waitedMs: number;
}

/** Order in which stages give way once their patience is over, and before. */
const LATE_RANKS: Readonly<Record<ConnectionStage, number | undefined>> = {
  unstarted: 0,
  body: 1,
  answer: 1,
  idle: 2,
  running: undefined,
};
const EARLY_RANKS: Readonly<Record<ConnectionStage, number | undefined>> = {
  idle: 2,
  unstarted: 3,
  answer: 4,
  body: 4,
  running: undefined,
};

/** Open connections of one port, by number. */
export class ConnectionTable {
  private readonly connections = new Map<number, OpenConnection>();
  private readonly addresses = new Map<string, number>();

  private constructor(private readonly maxConnections: number) {}

  static create(maxConnections: number): ConnectionTable {
    return new ConnectionTable(maxConnections);
  }

  /**
   * Admits a connection. Returns the one that gives way if the table is full, and
   * the new one itself if no other may.
   */
  open(id: number, address: string, nowMs: number): Eviction | undefined {
    const isFull = this.connections.size >= this.maxConnections;
    const evicted = isFull ? this.chooseVictim(nowMs) : undefined;
    if (isFull && evicted === undefined) {
      return {id, stage: 'unstarted', waitedMs: 0};
    }
    if (evicted !== undefined) this.close(evicted.id);
    const pace = PaceMeter.create(nowMs);
    const stage = 'unstarted';
    this.connections.set(id, {address, stage, stageAtMs: nowMs, pace});
    this.addresses.set(address, (this.addresses.get(address) ?? 0) + 1);
    return evicted;
  }

  startStage(id: number, stage: ConnectionStage, nowMs: number): void {
    const connection = this.connections.get(id);
    if (connection === undefined) return;
    connection.stage = stage;
    connection.stageAtMs = nowMs;
    connection.pace = PaceMeter.create(nowMs);
  }

  /** Records bytes of a body that arrived or of an answer that were sent. */
  recordBytes(id: number, bytes: number, nowMs: number): void {
    this.connections.get(id)?.pace.recordBytes(bytes, nowMs);
  }

  close(id: number): void {
    const connection = this.connections.get(id);
    if (connection === undefined) return;
    this.connections.delete(id);
    const left = (this.addresses.get(connection.address) ?? 0) - 1;
    if (left > 0) this.addresses.set(connection.address, left);
    else this.addresses.delete(connection.address);
  }

  /** Lists connections whose body or answer lags by more than a time. */
  listLagging(maxLagMs: number, nowMs: number): Eviction[] {
    const lagging: Eviction[] = [];
    for (const [id, {stage, pace}] of this.connections) {
      if (stage !== 'body' && stage !== 'answer') continue;
      const waitedMs = pace.getLagMs(nowMs);
      if (waitedMs > maxLagMs) lagging.push({id, stage, waitedMs});
    }
    return lagging;
  }

  getSize(): number {
    return this.connections.size;
  }

  /**
   * Chooses the connection that makes the least progress. Among equals those of
   * addresses that hold over an equal share come first, then the one that has
   * waited for longest.
   */
  private chooseVictim(nowMs: number): Eviction | undefined {
    const share = this.maxConnections / this.addresses.size;
    let best: Eviction | undefined;
    let bestRank = Infinity;
    for (const [id, {address, stage, stageAtMs, pace}] of this.connections) {
      const isTransfer = stage === 'body' || stage === 'answer';
      const waitedMs = isTransfer ? pace.getLagMs(nowMs) : nowMs - stageAtMs;
      const ranks = waitedMs >= PATIENCE_MS ? LATE_RANKS : EARLY_RANKS;
      const stageRank = ranks[stage];
      if (stageRank === undefined) continue;
      const isOverShare = (this.addresses.get(address) ?? 0) > share;
      const rank = 2 * stageRank + (isOverShare ? 0 : 1);
      if (rank > bestRank) continue;
      if (rank === bestRank && waitedMs <= (best?.waitedMs ?? 0)) continue;
      bestRank = rank;
      best = {id, stage, waitedMs};
    }
    return best;
  }
}
