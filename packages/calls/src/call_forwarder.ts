/**
 * Forwards routed calls to endpoints, unless they crash endpoints, and records
 * their outcomes. Every call ends with one answer or one error, at the latest at
 * its deadline.
 */
import {
  Route,
  StreamOrigin,
  createError,
  pickTarget,
} from '@sassafrasspan/core';
import {err} from 'neverthrow';
import {computeFingerprint} from './attempt_descriptions';
import {CallPlacement} from './call_placement';
import type {MatchedCall} from './call_types';
import type {CallForwarderOptions, CallResult} from './forwarder_options';
import {PendingCall} from './pending_call';

export type {CallForwarderOptions, CallResult};

export class CallForwarder {
  private constructor(private readonly options: CallForwarderOptions) {}

  static create(options: CallForwarderOptions): CallForwarder {
    return new CallForwarder(options);
  }

  /** Forwards a call, if `origin` is given only to endpoints like it, and records
   * its outcome in log, metrics and burn rate. */
  async forward(
    matched: MatchedCall,
    origin?: StreamOrigin,
  ): Promise<CallResult> {
    const {route} = matched;
    const startedAtMs = this.options.clock.readMonotonicMs();
    const service =
      origin === undefined
        ? pickTarget(route, this.options.random)
        : findTarget(route, origin.service);
    const fingerprint = computeFingerprint(matched.call);
    const result = await this.run(
      matched,
      service,
      fingerprint,
      origin?.software,
    );
    const tookMs = this.options.clock.readMonotonicMs() - startedAtMs;
    this.recordResult(matched, result, tookMs);
    return result;
  }

  private async run(
    matched: MatchedCall,
    service: string | undefined,
    fingerprint: string,
    software: string | undefined,
  ): Promise<CallResult> {
    const {route} = matched;
    if (service === undefined) {
      const detail = `route ${route.name} has no service`;
      return err(createError('no-endpoint', detail));
    }
    const {options} = this;
    const {id, isOwed} = matched.call;
    const kind = isOwed ? 'item' : 'call';
    const verdict = options.crashes?.decide(fingerprint, kind) ?? 'sound';
    const mayRun =
      verdict === 'trial-due'
        ? await options.crashes?.claimTrial(fingerprint, id, kind)
        : verdict !== 'quarantined';
    if (!mayRun) {
      return err(createError('crash-suspect', `fingerprint ${fingerprint}`));
    }
    const placement = CallPlacement.create(options, service, software);
    return PendingCall.create(
      options,
      matched,
      service,
      fingerprint,
      placement,
      verdict,
    ).run();
  }

  private recordResult(
    matched: MatchedCall,
    result: CallResult,
    tookMs: number,
  ): void {
    const {log, metrics, burn, clock} = this.options;
    const {name, targetLatencyMs} = matched.route;
    const kind = result.isErr() ? result.error.kind : undefined;
    burn.recordCall(name, targetLatencyMs, tookMs, kind, clock.readWallMs());
    const common = {
      requestId: matched.call.id,
      route: matched.route.name,
      configuration: matched.configurationVersion,
      tookMs,
    };
    metrics.recordMs('request_ms', {route: matched.route.name}, tookMs);
    if (result.isOk()) {
      const {status} = result.value;
      metrics.addCount('requests_answered_total');
      return log.writeEvent('request-answered', {...common, status});
    }
    const {detail} = result.error;
    metrics.addCount('requests_failed_total', {kind: result.error.kind});
    log.writeEvent('request-failed', {...common, kind, detail});
  }
}

/** Returns a service if the route refers to it. */
function findTarget(route: Route, service: string): string | undefined {
  return route.targets.find(target => target.service === service)?.service;
}
