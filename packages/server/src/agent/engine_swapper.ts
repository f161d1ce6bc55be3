/**
 * Swaps the weights of one engine: executes the actions that `decideSwap`
 * returns, one at a time, and reads the engine's version after each activation.
 */
import {
  Clock,
  EngineOrder,
  PublishedVersion,
  ServiceError,
  SwapAction,
  decideSwap,
  ORDER_RETRY_DELAY_MS,
} from '@sassafrasspan/core';
import type {EventLog} from '@sassafrasspan/runtime';
import {Result, ok} from 'neverthrow';
import type {ManagedEndpoint} from './managed_endpoint';
import type {FencingNumberHolder} from './fencing_number_holder';
import type {WeightVersion} from './weight_source';

export interface EngineSwapperOptions {
  readonly endpoint: ManagedEndpoint;
  readonly fencing: FencingNumberHolder;
  readonly clock: Clock;
  readonly log: EventLog;
  /** Returns the URL from which the engine downloads a version. */
  formatSourceUrl(weights: WeightVersion): string;
  /**
   * Returns the delay of the activation in ms. Engines of a pool activate at
   * different times, so that the pool keeps serving.
   */
  computeDelayMs(version: number): number;
}

export class EngineSwapper {
  private published: PublishedVersion | undefined;
  private activateAtMs = 0;
  private retryAtMs = 0;
  private stagedVersion = 0;
  private isBusy = false;

  private constructor(private readonly options: EngineSwapperOptions) {}

  static create(options: EngineSwapperOptions): EngineSwapper {
    return new EngineSwapper(options);
  }

  /** Sets the version to reach; older versions are ignored. */
  setPublishedVersion(published: PublishedVersion): void {
    const knownVersion = this.published?.version ?? 0;
    if (published.version < knownVersion) return;
    if (published.version > knownVersion) {
      const delayMs = this.options.computeDelayMs(published.version);
      this.activateAtMs = this.options.clock.readMonotonicMs() + delayMs;
    }
    this.published = published;
  }

  /** Executes the next action towards the published version, if any. */
  async advance(): Promise<void> {
    if (this.isBusy || this.published === undefined) return;
    const {endpoint, fencing} = this.options;
    if (fencing.getState().isLost) endpoint.markLeaving();
    if (endpoint.getCondition() === 'down') return;
    const action = this.decideAction(this.published);
    if (action.type === 'wait') return;
    this.isBusy = true;
    const result = await this.runAction(action, this.published);
    this.isBusy = false;
    if (result.isErr()) this.recordFailure(action, result.error);
  }

  private decideAction(published: PublishedVersion): SwapAction {
    const {endpoint, fencing, clock} = this.options;
    return decideSwap({
      nowMs: clock.readMonotonicMs(),
      runningVersion: endpoint.getWeightVersion(),
      stagedVersion: this.stagedVersion,
      publishedVersion: published.version,
      announcedVersion: published.announced?.version ?? 0,
      activateAtMs: this.activateAtMs,
      retryAtMs: this.retryAtMs,
      fencing: fencing.getState(),
      checksFencing: endpoint.settings.fencing === 'checks',
    });
  }

  private runAction(
    action: SwapAction,
    published: PublishedVersion,
  ): Promise<Result<void, ServiceError>> {
    switch (action.type) {
      case 'wait':
        return Promise.resolve(ok(undefined));
      case 'gain-fencing':
        return this.options.fencing.gainNumber();
      case 'verify-fencing':
        return this.options.fencing.verifyNumber();
      case 'stage':
        return this.stageVersion(selectVersion(published, action.version));
      case 'activate':
        return this.activateVersion(published);
    }
  }

  private async stageVersion(
    weights: WeightVersion,
  ): Promise<Result<void, ServiceError>> {
    this.writeSwapEvent('swap-started', weights.version);
    const source = this.options.formatSourceUrl(weights);
    const result = await this.sendOrder('stage', weights.version, source);
    if (result.isOk()) this.stagedVersion = weights.version;
    return result;
  }

  private async activateVersion(
    published: PublishedVersion,
  ): Promise<Result<void, ServiceError>> {
    const {endpoint} = this.options;
    endpoint.setSwapping(true);
    const result = await this.sendOrder('activate', published.version, '');
    await endpoint.refreshLoad();
    endpoint.setSwapping(false);
    if (endpoint.getWeightVersion() === published.version) {
      this.writeSwapEvent('swap-finished', published.version);
    } else {
      // The engine may have lost the staged version, for example in a crash.
      this.stagedVersion = 0;
    }
    return result;
  }

  private sendOrder(
    kind: EngineOrder['kind'],
    version: number,
    source: string,
  ): Promise<Result<void, ServiceError>> {
    const fencing = this.options.fencing.getState().number;
    const {driver} = this.options.endpoint;
    return driver.sendOrder({kind, version, source, fencing});
  }

  private recordFailure(action: SwapAction, error: ServiceError): void {
    const {kind, detail} = error;
    this.retryAtMs =
      this.options.clock.readMonotonicMs() + ORDER_RETRY_DELAY_MS;
    const isOrder = action.type === 'stage' || action.type === 'activate';
    if (isOrder && kind === 'conflict') this.options.fencing.markLost(detail);
    const endpoint = this.options.endpoint.settings.name;
    const {type} = action;
    this.options.log.writeEvent('swap-failed', {endpoint, type, kind, detail});
  }

  private writeSwapEvent(
    name: 'swap-started' | 'swap-finished',
    version: number,
  ): void {
    const endpoint = this.options.endpoint.settings.name;
    this.options.log.writeEvent(name, {endpoint, version});
  }
}

/** Returns the announced version if it has the number, else the published. */
function selectVersion(
  published: PublishedVersion,
  version: number,
): WeightVersion {
  const {service, announced} = published;
  if (announced?.version === version) return {service, ...announced};
  return {
    service,
    version: published.version,
    weightsKey: published.weightsKey,
  };
}
