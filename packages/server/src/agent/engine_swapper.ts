/**
 * Swaps the weights of one engine: stage, then activate, with the agent's
 * fencing number on each order. The engine's own word decides which version
 * it runs.
 */
import {
  Clock,
  EngineOrder,
  FENCING_SCHEMA,
  PublishedVersion,
  ServiceError,
  createError,
  formatFencingKey,
} from '@sassafrasspan/core';
import type {ObjectStore} from '@sassafrasspan/platform';
import type {EventLog} from '@sassafrasspan/runtime';
import {Result, err, ok} from 'neverthrow';
import type {EndpointUnit} from './endpoint_unit';

/** What a swapper is built from. */
export interface EngineSwapperOptions {
  readonly unit: EndpointUnit;
  readonly store: ObjectStore;
  readonly holder: string;
  readonly weightStoreUrl: string;
  readonly clock: Clock;
  readonly log: EventLog;
}

/** Drives the weight version of one engine. */
export class EngineSwapper {
  private fencing = 0;
  private target: PublishedVersion | undefined;
  private isBusy = false;

  private constructor(private readonly options: EngineSwapperOptions) {}

  /** Builds a swapper without a fencing number. */
  static create(options: EngineSwapperOptions): EngineSwapper {
    return new EngineSwapper(options);
  }

  /** Takes a newer published version as the target. */
  setTarget(target: PublishedVersion): void {
    if (target.version <= (this.target?.version ?? 0)) return;
    this.target = target;
  }

  /** Brings the engine one step nearer to its target, if it is behind. */
  async advance(): Promise<void> {
    const {target} = this;
    if (this.isBusy || target === undefined) return;
    if (this.options.unit.getCondition() === 'down') return;
    if (this.options.unit.getWeightVersion() === target.version) return;
    this.isBusy = true;
    const result = await this.swapTo(target);
    this.options.unit.setSwapping(false);
    this.isBusy = false;
    if (result.isErr()) this.reportFailure(target, result.error);
  }

  private async swapTo(
    target: PublishedVersion,
  ): Promise<Result<void, ServiceError>> {
    const fenced = await this.gainFencing();
    if (fenced.isErr()) return err(fenced.error);
    const endpoint = this.options.unit.settings.name;
    const {version} = target;
    this.options.log.writeEvent('swap-started', {endpoint, version});
    const staged = await this.sendOrder('stage', target);
    if (staged.isErr()) return staged;
    this.options.unit.setSwapping(true);
    const activated = await this.sendOrder('activate', target);
    await this.options.unit.refreshLoad();
    if (activated.isErr()) return activated;
    if (this.options.unit.getWeightVersion() !== version) {
      const detail = 'the engine reports another version';
      return err(createError('version-unknown', detail));
    }
    this.options.log.writeEvent('swap-finished', {endpoint, version});
    return ok(undefined);
  }

  private sendOrder(
    kind: EngineOrder['kind'],
    target: PublishedVersion,
  ): Promise<Result<void, ServiceError>> {
    const key = encodeURIComponent(target.weightsKey);
    return this.options.unit.driver.sendOrder({
      kind,
      version: target.version,
      source: `${this.options.weightStoreUrl}/weights/${key}`,
      fencing: this.fencing,
    });
  }

  /** Gains a fencing number once, by a conditional update. */
  private async gainFencing(): Promise<Result<void, ServiceError>> {
    if (this.fencing > 0) return ok(undefined);
    const endpoint = this.options.unit.settings.name;
    const key = formatFencingKey(endpoint);
    const found = await this.options.store.readObject(key);
    if (found.isErr()) return err(found.error);
    const record = FENCING_SCHEMA.safeParse(found.value.value);
    const number = (record.success ? record.data.number : 0) + 1;
    const {holder} = this.options;
    const written = await this.options.store.writeObject(
      key,
      {endpoint, number, holder},
      found.value.version,
    );
    if (written.isErr()) return err(written.error);
    this.fencing = number;
    this.options.log.writeEvent('fencing-gained', {endpoint, number});
    return ok(undefined);
  }

  private reportFailure(target: PublishedVersion, error: ServiceError): void {
    const endpoint = this.options.unit.settings.name;
    const {version} = target;
    const {kind, detail} = error;
    if (kind === 'conflict') {
      this.options.log.writeEvent('fencing-lost', {endpoint, detail});
      return;
    }
    this.options.log.writeEvent('swap-failed', {
      endpoint,
      version,
      kind,
      detail,
    });
  }
}
