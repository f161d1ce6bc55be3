/**
 * Keeps the limit that an agent's engine states: for the runs that the agent
 * starts, and for the calls that other nodes send to the engine.
 */
import {RateKeeper} from '@sassafrasspan/core';
import {PeerRoutes, createHandler} from '@sassafrasspan/peers';
import {ok} from 'neverthrow';
import {GRANT_REQUEST_SCHEMA, LIMIT_PATHS} from './limit_messages';
import {
  LimitedAnswer,
  LoggedLimits,
  LoggedLimitsOptions,
} from './logged_limits';

export class EngineRates {
  private readonly limits: LoggedLimits;
  private readonly keeper = RateKeeper.create();
  /** Endpoint id of the engine's present incarnation. */
  private endpointId = '';

  private constructor(private readonly options: LoggedLimitsOptions) {
    this.limits = LoggedLimits.create(options);
  }

  static create(options: LoggedLimitsOptions): EngineRates {
    return new EngineRates(options);
  }

  /** Returns the handler for nodes that send calls to the engine. */
  createRoutes(): PeerRoutes {
    return {
      [LIMIT_PATHS.grant]: createHandler(GRANT_REQUEST_SCHEMA, request =>
        ok(this.keeper.grantSends(request, this.readMs())),
      ),
    };
  }

  /** Records the limit in a reply of the engine; returns whether it changed. */
  recordAnswer(answer: LimitedAnswer): boolean {
    return this.limits.recordAnswer(answer).change !== 'unchanged';
  }

  /** Returns whether a run may be sent to the engine now, and counts it. */
  admitRun(endpointId: string): boolean {
    this.forgetOtherIncarnations(endpointId);
    const perSecond = this.getLimit();
    if (perSecond === undefined) return true;
    const request = {endpointId, perSecond, rank: 0, wanted: 1};
    return this.keeper.grantSends(request, this.readMs()).granted === 1;
  }

  /** Returns the engine's limit in requests per second, if it states one. */
  getLimit(): number | undefined {
    return this.limits.findLimit(this.endpointId);
  }

  /** Forgets earlier incarnations of the engine. */
  private forgetOtherIncarnations(endpointId: string): void {
    if (endpointId === this.endpointId) return;
    this.endpointId = endpointId;
    const ids = new Set([endpointId]);
    this.limits.removeUnregistered(ids);
    this.keeper.removeUnregistered(ids);
  }

  private readMs(): number {
    return this.options.clock.readMonotonicMs();
  }
}
