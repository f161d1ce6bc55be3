/**
 * Chooses the connections that are cut to release memory: those that make the
 * least progress for what they hold.
 */
import type {PaceMeter} from './pace_meter';

export interface MemoryLimits {
  /** Above this, bodies are read one at a time, and new requests of customers
   * that hold their share are refused. */
  readonly softBytes: number;
  /** Above this, every new request is refused and connections are cut. */
  readonly hardBytes: number;
  /** While requests are refused above the soft limit, a connection that has
   * read nothing for this time is cut; undefined for no such time. */
  readonly stallMs: number | undefined;
  /** While requests are refused or bodies held back above the soft limit, a
   * connection that is behind an ordinary client by this time is cut; undefined
   * for no such time. */
  readonly patienceMs?: number;
  /** Maximum number of open requests, each of which holds its objects; unlimited
   * if undefined. */
  readonly maxRequests?: number;
  /** Maximum number of bodies that are held back at once; further ones are
   * refused. Unlimited if undefined. */
  readonly maxHeldBack?: number;
}

/** What a request does: `body` is being received, `running` at an endpoint,
 * `streaming` an unfinished answer, `finished` a complete answer. */
export type HeldStage = 'body' | 'running' | 'streaming' | 'finished';

/** Stages in the order in which they are cut. Running requests are
 * not cut: the endpoint's work would be lost. */
export const CUT_RANKS: Readonly<Record<HeldStage, number | undefined>> = {
  body: 0,
  streaming: 1,
  finished: 2,
  running: undefined,
};

/** What is held for one request and so for its connection. */
export interface HeldRequest {
  readonly customer: string;
  /** Number of the connection. */
  readonly connection: number;
  bytes: number;
  stage: HeldStage;
  /** When the caller last sent or read something. */
  progressAtMs: number;
  /** Progress compared with that of an ordinary client. */
  pace: PaceMeter;
  /** Whether this node does not read the body at present. */
  isHeldBack: boolean;
  answeredAtMs: number;
  /** Whether the mean of unread bytes has a sample of this request. */
  isSampled: boolean;
  /** Whether it is of the system itself: it waits for long, and what it leaves
   * unread says nothing of callers. */
  readonly isReserved: boolean;
}

/** What is held for all requests of one connection. */
interface HeldConnection {
  bytes: number;
  progressAtMs: number;
  lagMs: number;
}

export interface MemoryRefusal {
  /** Bytes that are held or expected, for all customers. */
  readonly heldBytes: number;
  /** The same for the customer. */
  readonly customerBytes: number;
  readonly softBytes: number;
  readonly retryAfterMs: number;
}

export interface MemoryCut {
  /** Number of the request for which the connection is cut. */
  readonly id: number;
  readonly stage: HeldStage;
  /** Bytes held for the connection. */
  readonly bytes: number;
  /** Time since the caller last sent or read something, in ms. */
  readonly idleMs: number;
  /** `hard-limit` or, above the soft limit, `stalled`. */
  readonly reason: 'hard-limit' | 'stalled';
}

/** What is held, and why connections are cut. */
export interface CutContext {
  readonly requests: ReadonlyMap<number, HeldRequest>;
  readonly limits: MemoryLimits;
  readonly heldBytes: number;
  /** Correction of the bytes held by what the process measures. */
  readonly factor: number;
  /** Customers that hold more than an equal share. */
  readonly overShare: ReadonlySet<string>;
  /** Whether requests were refused or bodies held back above the soft limit. */
  readonly mayCutStalled: boolean;
  readonly nowMs: number;
}

/**
 * Lists the connections to cut: above the hard limit as many as bring the account
 * below it (without the correction, since garbage that awaits collection must not
 * cost a caller its answer), and those that have stalled or lag while requests
 * were refused. Customers over their share come first, then bodies before
 * unfinished and finished answers, then those idle for longest. Running requests
 * are not cut: the endpoint's work would be lost.
 */
export function chooseCuts(context: CutContext): MemoryCut[] {
  const {requests, limits, factor, mayCutStalled, nowMs} = context;
  const {softBytes, hardBytes} = limits;
  const {stallMs = Infinity, patienceMs = Infinity} = limits;
  let {heldBytes} = context;
  let estimatedBytes = heldBytes * factor;
  const connections = groupByConnection(requests, nowMs);
  const cuts: MemoryCut[] = [];
  const candidates = rankForCuts(context, connections);
  for (const [id, {connection: number, stage}] of candidates) {
    const connection = connections.get(number);
    if (connection === undefined) continue;
    const {bytes} = connection;
    const idleMs = nowMs - connection.progressAtMs;
    const isOverHard = heldBytes > hardBytes;
    const isLate = idleMs >= stallMs || connection.lagMs >= patienceMs;
    const isStalled = mayCutStalled && estimatedBytes > softBytes && isLate;
    if (!isOverHard && !isStalled) continue;
    const reason = isOverHard ? 'hard-limit' : 'stalled';
    cuts.push({id, stage, bytes, idleMs, reason});
    connections.delete(number);
    heldBytes -= bytes;
    estimatedBytes -= bytes * factor;
  }
  return cuts;
}

/** A pipelined request makes no progress while the one before it does, so that
 * idle times are those of connections. */
function groupByConnection(
  requests: ReadonlyMap<number, HeldRequest>,
  nowMs: number,
): Map<number, HeldConnection> {
  const connections = new Map<number, HeldConnection>();
  for (const request of requests.values()) {
    const {connection, bytes, progressAtMs} = request;
    const lagMs = request.isHeldBack ? 0 : request.pace.getLagMs(nowMs);
    const held = connections.get(connection);
    if (held === undefined) {
      connections.set(connection, {bytes, progressAtMs, lagMs});
    } else {
      held.bytes += bytes;
      held.progressAtMs = Math.max(held.progressAtMs, progressAtMs);
      held.lagMs = Math.min(held.lagMs, lagMs);
    }
  }
  return connections;
}

function rankForCuts(
  {requests, overShare}: CutContext,
  connections: ReadonlyMap<number, HeldConnection>,
): [number, HeldRequest][] {
  const getShareRank = ({customer}: HeldRequest) =>
    overShare.has(customer) ? 0 : 1;
  const getProgressMs = ({connection}: HeldRequest) =>
    connections.get(connection)?.progressAtMs ?? 0;
  const getStageRank = ({stage}: HeldRequest) => CUT_RANKS[stage] ?? 0;
  return [...requests]
    .filter(([, {stage, bytes}]) => bytes > 0 && stage !== 'running')
    .sort(
      ([, a], [, b]) =>
        getShareRank(a) - getShareRank(b) ||
        getStageRank(a) - getStageRank(b) ||
        getProgressMs(a) - getProgressMs(b),
    );
}
