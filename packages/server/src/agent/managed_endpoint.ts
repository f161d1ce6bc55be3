/**
 * An endpoint as its agent manages it: queue, running requests, load and
 * condition.
 */
import {
  AdmissionQueue,
  Clock,
  EndpointCondition,
  EndpointDriver,
  EndpointLoad,
  EndpointReport,
  RunHandle,
} from '@sassafrasspan/core';
import {EngineClient} from '@sassafrasspan/engines';
import {ServiceClient} from '@sassafrasspan/services';
import type {EndpointSettings} from '../shared/settings_schemas';

const MAX_FAILED_LOAD_READS = 3;

const EMPTY_LOAD: EndpointLoad = {
  running: 0,
  waiting: 0,
  kvUsePermille: 0,
  weightVersion: undefined,
  tokensPerSecond: 0,
};

/** Factory of the driver for each kind of endpoint. */
const DRIVERS: Record<
  EndpointSettings['kind'],
  (url: string) => EndpointDriver
> = {
  engine: url => EngineClient.create(url),
  plain: url => ServiceClient.create(url),
};

export class ManagedEndpoint {
  readonly queue: AdmissionQueue;
  readonly handles = new Map<string, RunHandle>();
  private load: EndpointLoad = EMPTY_LOAD;
  private failedLoadReads = MAX_FAILED_LOAD_READS;
  private isLeaving = false;
  private isSwapping = false;

  private constructor(
    readonly settings: EndpointSettings,
    readonly driver: EndpointDriver,
    clock: Clock,
  ) {
    this.queue = AdmissionQueue.create(settings, clock);
  }

  /** The endpoint counts as down until its load has been read. */
  static create(
    settings: EndpointSettings,
    clock: Clock,
    driver = DRIVERS[settings.kind](settings.url),
  ): ManagedEndpoint {
    return new ManagedEndpoint(settings, driver, clock);
  }

  async refreshLoad(): Promise<void> {
    const load = await this.driver.readLoad();
    if (load.isOk()) {
      this.load = load.value;
      this.failedLoadReads = 0;
    } else {
      this.failedLoadReads += 1;
    }
  }

  /** Returns the version last read; undefined if it is unknown. */
  getWeightVersion(): number | undefined {
    return this.load.weightVersion;
  }

  /** Makes the endpoint count as down until its load is read again. */
  markCrashed(): void {
    this.failedLoadReads = MAX_FAILED_LOAD_READS;
  }

  /** Marks the endpoint as leaving until the agent restarts. */
  markLeaving(): void {
    this.isLeaving = true;
  }

  /** Sets whether the engine is activating a weight version. */
  setSwapping(isSwapping: boolean): void {
    this.isSwapping = isSwapping;
  }

  /** Returns the condition, which decides whether work is accepted. */
  getCondition(): EndpointCondition {
    if (this.isLeaving) return 'leaving';
    if (this.failedLoadReads >= MAX_FAILED_LOAD_READS) return 'down';
    if (this.isSwapping) return 'swapping';
    if (this.load.weightVersion === undefined) return 'unknown-version';
    return 'serving';
  }

  /** Creates the endpoint's part of a heartbeat. */
  createReport(): EndpointReport {
    return {
      name: this.settings.name,
      service: this.settings.service,
      state: this.getCondition(),
      running: this.queue.countRunning(),
      queued: this.queue.countWaiting(),
      slots: this.settings.slots,
      kvUsePermille: this.load.kvUsePermille,
      weightVersion: this.load.weightVersion ?? 0,
      queuedTokens: this.queue.sumWaitingTokens(),
      tokensPerSecond: Math.round(this.load.tokensPerSecond),
    };
  }
}
