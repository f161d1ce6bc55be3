/**
 * Swaps the weights of one engine: carries out what the swap decision in the
 * core says, one order at a time, and reads the engine's version back after
 * each.
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
import type {EndpointUnit} from './endpoint_unit';
import type {FencingKeeper} from './fencing_keeper';
import type {WeightVersion} from './weight_source';

/** What a swapper is built from. */
export interface EngineSwapperOptions {
  readonly unit: EndpointUnit;
  readonly fencing: FencingKeeper;
  readonly clock: Clock;
  readonly log: EventLog;
  /** Returns the URL from which the engine takes a version. */
  formatSource(wanted: WeightVersion): string;
  /** Returns the delay of the activation in ms, so that the pool serves. */
  readDelayMs(version: number): number;
}

/** Drives the weight version of one engine. */
export class EngineSwapper {
  private head: PublishedVersion | undefined;
  private activateAtMs = 0;
  private retryAtMs = 0;
  private staged = 0;
  private isBusy = false;

  private constructor(private readonly options: EngineSwapperOptions) {}

  /** Builds a swapper without a target. */
  static create(options: EngineSwapperOptions): EngineSwapper {
    return new EngineSwapper(options);
  }

  /** Takes a newer state of the service's version head. */
  setHead(head: PublishedVersion): void {
    const known = this.head?.version ?? 0;
    if (head.version < known) return;
    if (head.version > known) {
      const delayMs = this.options.readDelayMs(head.version);
      this.activateAtMs = this.options.clock.readMonotonicMs() + delayMs;
    }
    this.head = head;
  }

  /** Does the next step towards the published version, if there is one. */
  async advance(): Promise<void> {
    if (this.isBusy || this.head === undefined) return;
    const {unit, fencing} = this.options;
    if (fencing.getState().isLost) unit.markLeaving();
    if (unit.getCondition() === 'down') return;
    const action = this.decideAction(this.head);
    if (action.type === 'wait') return;
    this.isBusy = true;
    const done = await this.runAction(action, this.head);
    this.isBusy = false;
    if (done.isErr()) this.recordFailure(action, done.error);
  }

  private decideAction(head: PublishedVersion): SwapAction {
    const {unit, fencing, clock} = this.options;
    return decideSwap({
      nowMs: clock.readMonotonicMs(),
      runningVersion: unit.getWeightVersion(),
      stagedVersion: this.staged,
      publishedVersion: head.version,
      announcedVersion: head.announced?.version ?? 0,
      activateAtMs: this.activateAtMs,
      retryAtMs: this.retryAtMs,
      fencing: fencing.getState(),
      checksFencing: unit.settings.fencing === 'checks',
    });
  }

  private runAction(
    action: SwapAction,
    head: PublishedVersion,
  ): Promise<Result<void, ServiceError>> {
    switch (action.type) {
      case 'wait':
        return Promise.resolve(ok(undefined));
      case 'gain-fencing':
        return this.options.fencing.gainNumber();
      case 'verify-fencing':
        return this.options.fencing.verifyNumber();
      case 'stage':
        return this.stageVersion(selectVersion(head, action.version));
      case 'activate':
        return this.activateVersion(head);
    }
  }

  private async stageVersion(
    wanted: WeightVersion,
  ): Promise<Result<void, ServiceError>> {
    this.writeSwapEvent('swap-started', wanted.version);
    const source = this.options.formatSource(wanted);
    const done = await this.sendOrder('stage', wanted.version, source);
    if (done.isOk()) this.staged = wanted.version;
    return done;
  }

  private async activateVersion(
    head: PublishedVersion,
  ): Promise<Result<void, ServiceError>> {
    const {unit} = this.options;
    unit.setSwapping(true);
    const done = await this.sendOrder('activate', head.version, '');
    await unit.refreshLoad();
    unit.setSwapping(false);
    if (unit.getWeightVersion() === head.version) {
      this.writeSwapEvent('swap-finished', head.version);
    } else {
      // The engine may have lost what was staged, as after a crash.
      this.staged = 0;
    }
    return done;
  }

  private sendOrder(
    kind: EngineOrder['kind'],
    version: number,
    source: string,
  ): Promise<Result<void, ServiceError>> {
    const fencing = this.options.fencing.getState().number;
    const {driver} = this.options.unit;
    return driver.sendOrder({kind, version, source, fencing});
  }

  private recordFailure(action: SwapAction, error: ServiceError): void {
    const {kind, detail} = error;
    this.retryAtMs =
      this.options.clock.readMonotonicMs() + ORDER_RETRY_DELAY_MS;
    const isOrder = action.type === 'stage' || action.type === 'activate';
    if (isOrder && kind === 'conflict') this.options.fencing.markLost(detail);
    const endpoint = this.options.unit.settings.name;
    const {type} = action;
    this.options.log.writeEvent('swap-failed', {endpoint, type, kind, detail});
  }

  private writeSwapEvent(
    name: 'swap-started' | 'swap-finished',
    version: number,
  ): void {
    const endpoint = this.options.unit.settings.name;
    this.options.log.writeEvent(name, {endpoint, version});
  }
}

/** Finds the published or announced version in a head. */
function selectVersion(head: PublishedVersion, version: number): WeightVersion {
  const {service} = head;
  const {announced} = head;
  if (announced?.version === version) return {service, ...announced};
  return {service, version: head.version, weightsKey: head.weightsKey};
}
