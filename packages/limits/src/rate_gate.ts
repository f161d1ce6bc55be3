/**
 * Admits sends to endpoints that state a limit. A node asks the keeper of the
 * limit before each send; sends that wait for an answer of the keeper share the
 * next question. While the keeper has nothing to grant, sends are denied at once.
 */
import {
  Clock,
  EndpointEntry,
  Grant,
  LimitChange,
  LimitObservation,
  RateKeeper,
} from '@sassafrasspan/core';
import type {PeerClient, RegisteredNode} from '@sassafrasspan/peers';
import {EventLog, Metrics, parseAddress} from '@sassafrasspan/runtime';
import {GRANT_SCHEMA, LIMIT_PATHS} from './limit_messages';
import {LimitedAnswer, LoggedLimits} from './logged_limits';

/** Timeout of a question to a keeper, in ms: several round trips. */
const GRANT_TIMEOUT_MS = 120;
/** Time for which a keeper that did not answer is not asked, in ms. */
const KEEPER_RETRY_MS = 2_000;
/** Time for which sends are denied when no keeper answers, in ms. */
const NO_KEEPER_MS = 250;
const MS_PER_SECOND = 1_000;

/** What identifies an endpoint to the keepers of its limit. */
export type LimitedEndpoint = Pick<EndpointEntry, 'id' | 'address'>;

/** Finds the nodes that keep limits. */
export interface KeeperFinder {
  /** Lists the keepers of an endpoint's limit; the first is asked first. */
  listKeepers(endpoint: LimitedEndpoint): readonly RegisteredNode[];
  /** Returns whether a node is this one. */
  isOwn(node: RegisteredNode): boolean;
}

export interface RateGateOptions {
  readonly directory: KeeperFinder;
  /** Grants sends for the limits that this node keeps. */
  readonly keeper: RateKeeper;
  readonly peers: PeerClient;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: Metrics;
  /** Called with what an answer of an endpoint has changed. */
  readonly onChanged: (observation: LimitObservation) => void;
}

/** Sends to one endpoint that wait for a grant. */
interface PendingSends {
  waiting: Array<(isGranted: boolean) => void>;
  isAsking: boolean;
  /** Time until which sends are denied. */
  deniedUntilMs: number;
  /** Time that the latest denied caller was told to come back at. */
  returnAtMs: number;
}

export class RateGate {
  private readonly limits: LoggedLimits;
  private readonly pending = new Map<string, PendingSends>();
  /** Times until which silent keepers are not asked, by name. */
  private readonly silentKeepers = new Map<string, number>();

  private constructor(private readonly options: RateGateOptions) {
    this.limits = LoggedLimits.create(options);
  }

  static create(options: RateGateOptions): RateGate {
    return new RateGate(options);
  }

  /** Records the limit in an answer, or that it states none. */
  recordAnswer(answer: LimitedAnswer): void {
    const {observation, change} = this.limits.recordAnswer(answer);
    if (change === 'unchanged') return;
    this.forgetEnded(observation.endpointId, change);
    this.options.onChanged(observation);
  }

  /** Records what another node has observed. */
  recordObservation(observation: LimitObservation): void {
    const change = this.limits.recordObservation(observation);
    this.forgetEnded(observation.endpointId, change);
  }

  /** Lists the limits that are known. */
  listObservations(): LimitObservation[] {
    return this.limits.list();
  }

  isLimited(endpointId: string): boolean {
    return this.limits.findLimit(endpointId) !== undefined;
  }

  /** Returns whether a send to the endpoint would be denied now. */
  isDenied(endpointId: string): boolean {
    if (!this.isLimited(endpointId)) return false;
    const deniedUntilMs = this.pending.get(endpointId)?.deniedUntilMs ?? 0;
    return this.readMs() < deniedUntilMs;
  }

  /** Resolves with whether a call may be sent to the endpoint now. */
  async admitSend(endpoint: LimitedEndpoint): Promise<boolean> {
    if (!this.isLimited(endpoint.id)) return true;
    if (this.isDenied(endpoint.id)) return false;
    const sends = this.getPending(endpoint.id);
    const granted = new Promise<boolean>(resolve => {
      sends.waiting.push(resolve);
    });
    if (!sends.isAsking) void this.askForSends(endpoint, sends);
    return granted;
  }

  /**
   * Returns the time after which a caller should try again, in ms, given the
   * endpoints that denied its call. Callers are told successive times, as far
   * apart as the limits allow.
   */
  reserveReturn(endpointIds: readonly string[]): number | undefined {
    const nowMs = this.readMs();
    let earliest: PendingSends | undefined;
    let earliestAtMs = Infinity;
    for (const id of endpointIds) {
      const perSecond = this.limits.findLimit(id);
      const sends = this.pending.get(id);
      if (perSecond === undefined || sends === undefined) continue;
      const intervalMs = MS_PER_SECOND / perSecond;
      const nextAtMs = Math.max(
        sends.deniedUntilMs,
        sends.returnAtMs + intervalMs,
        nowMs,
      );
      if (nextAtMs >= earliestAtMs) continue;
      earliest = sends;
      earliestAtMs = nextAtMs;
    }
    if (earliest === undefined) return undefined;
    earliest.returnAtMs = earliestAtMs;
    return Math.ceil(earliestAtMs - nowMs);
  }

  /** Forgets endpoints that are no longer registered. */
  removeUnregistered(endpointIds: ReadonlySet<string>): void {
    this.limits.removeUnregistered(endpointIds);
    for (const id of this.pending.keys()) {
      if (!this.isLimited(id)) this.pending.delete(id);
    }
  }

  private forgetEnded(endpointId: string, change: LimitChange): void {
    if (change === 'ended') this.pending.delete(endpointId);
  }

  private readMs(): number {
    return this.options.clock.readMonotonicMs();
  }

  private getPending(endpointId: string): PendingSends {
    const known = this.pending.get(endpointId);
    if (known !== undefined) return known;
    const created: PendingSends = {
      waiting: [],
      isAsking: false,
      deniedUntilMs: 0,
      returnAtMs: 0,
    };
    this.pending.set(endpointId, created);
    return created;
  }

  /** Asks for all waiting sends at once, until none waits. */
  private async askForSends(
    endpoint: LimitedEndpoint,
    sends: PendingSends,
  ): Promise<void> {
    sends.isAsking = true;
    while (sends.waiting.length > 0) {
      const {waiting} = sends;
      sends.waiting = [];
      const grant = await this.askKeepers(endpoint, waiting.length);
      if (grant.granted < waiting.length) {
        sends.deniedUntilMs = this.readMs() + grant.nextInMs;
        this.options.metrics.addCount('limited_sends_denied_total');
      }
      for (const [index, resolve] of waiting.entries()) {
        resolve(index < grant.granted);
      }
    }
    sends.isAsking = false;
  }

  private async askKeepers(
    endpoint: LimitedEndpoint,
    wanted: number,
  ): Promise<Grant> {
    const {directory} = this.options;
    for (const [rank, node] of directory.listKeepers(endpoint).entries()) {
      const perSecond = this.limits.findLimit(endpoint.id);
      if (perSecond === undefined) return {granted: wanted, nextInMs: 0};
      const request = {endpointId: endpoint.id, perSecond, rank, wanted};
      if (directory.isOwn(node)) {
        return this.options.keeper.grantSends(request, this.readMs());
      }
      const grant = await this.askKeeper(node, request);
      if (grant !== undefined) return grant;
    }
    return {granted: 0, nextInMs: NO_KEEPER_MS};
  }

  private async askKeeper(
    node: RegisteredNode,
    body: object,
  ): Promise<Grant | undefined> {
    const address = parseAddress(node.address);
    const silentUntilMs = this.silentKeepers.get(node.name) ?? 0;
    if (address === undefined || this.readMs() < silentUntilMs) {
      return undefined;
    }
    const grant = await this.options.peers.call({
      address,
      path: LIMIT_PATHS.grant,
      body,
      schema: GRANT_SCHEMA,
      timeoutMs: GRANT_TIMEOUT_MS,
    });
    if (grant.isOk()) return grant.value;
    this.silentKeepers.set(node.name, this.readMs() + KEEPER_RETRY_MS);
    return undefined;
  }
}
