/**
 * Chooses the endpoints of one call's attempts: each is tried once, and those
 * that state a limit only after their limit admits the send.
 */
import {
  Clock,
  EndpointDirectory,
  EndpointEntry,
  EndpointSelector,
  ServiceError,
  createError,
} from '@sassafrasspan/core';
import type {RateGate} from '@sassafrasspan/limits';

export interface CallPlacementOptions {
  readonly endpoints: EndpointDirectory;
  readonly pool: EndpointSelector;
  readonly rateGate: RateGate;
  readonly clock: Clock;
}

export class CallPlacement {
  /** Ids of the endpoints tried so far. */
  private readonly tried = new Set<string>();
  /** Ids of the endpoints whose limits have denied the call. */
  private readonly denied = new Set<string>();

  private constructor(
    private readonly options: CallPlacementOptions,
    private readonly service: string,
    /** The only software version that may be called; undefined for any. */
    private readonly software: string | undefined,
  ) {}

  static create(
    options: CallPlacementOptions,
    service: string,
    software?: string,
  ): CallPlacement {
    return new CallPlacement(options, service, software);
  }

  /** Returns the number of attempts that were placed. */
  countAttempts(): number {
    return this.tried.size - this.denied.size;
  }

  /** Returns whether an untried endpoint may admit the call. */
  hasUntried(): boolean {
    return this.listUntried().length > 0;
  }

  /** Returns whether there is an untried endpoint without a limit. */
  hasUnlimited(): boolean {
    return this.listUntried().some(({id}) => !this.isLimited(id));
  }

  /**
   * Returns the best endpoint that admits a send now; undefined if there is none.
   * A hedge goes only to endpoints without a limit, whose sends are not scarce.
   */
  async chooseAdmitting(isHedge: boolean): Promise<EndpointEntry | undefined> {
    const {pool, clock, rateGate} = this.options;
    for (;;) {
      const candidates = this.listUntried().filter(
        ({id}) => !isHedge || !this.isLimited(id),
      );
      const endpoint = pool.choose(
        candidates,
        this.tried,
        clock.readMonotonicMs(),
        id => this.isLimited(id),
      );
      if (endpoint === undefined) return undefined;
      this.tried.add(endpoint.id);
      if (await rateGate.admitSend(endpoint)) return endpoint;
      this.denied.add(endpoint.id);
    }
  }

  /** Describes the denials, with the time after which to try again; undefined if
   * no limit has denied the call. */
  explainDenial(): ServiceError | undefined {
    const {rateGate} = this.options;
    const denying = this.listAllowed()
      .map(({id}) => id)
      .filter(id => this.denied.has(id) || rateGate.isDenied(id));
    if (denying.length === 0) return undefined;
    const detail = `${denying.length} endpoints have reached their limits`;
    const retryAfterMs = rateGate.reserveReturn(denying);
    return createError('rate-limited', detail, {retryAfterMs});
  }

  private isLimited(endpointId: string): boolean {
    return this.options.rateGate.isLimited(endpointId);
  }

  private listUntried(): EndpointEntry[] {
    const {rateGate} = this.options;
    return this.listAllowed().filter(
      ({id}) => !this.tried.has(id) && !rateGate.isDenied(id),
    );
  }

  private listAllowed(): EndpointEntry[] {
    const usable = this.options.endpoints.listUsable(this.service);
    if (this.software === undefined) return usable;
    return usable.filter(({software}) => software === this.software);
  }
}
