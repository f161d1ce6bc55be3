/**
 * Brings the engine beside an agent to a weight version. The agent is the only
 * holder of its engine; its fencing number is the epoch of the home that orders
 * the load, and the agent takes no orders of earlier homes. An order whose answer was lost may be carried out
 * seconds later, so that the engine's own report decides what follows.
 */
import type {Clock, LoadOrder} from '@sassafrasspan/core';
import type {EventLog} from '@sassafrasspan/runtime';
import type {EngineControl, EngineReport} from './engine_ports';

/** Time before an order is given again after a failure, in ms. */
const RETRY_DELAY_MS = 250;
/** Time for an order without an answer to be carried out, in ms; the platform
 * states 2 to 12 s, but a version only grows, so that a late one is harmless
 * and the wait only saves a second load. */
const UNANSWERED_DELAY_MS = 1_200;
/** Time for an accepted order to show in the engine's report, in ms. */
const ACCEPTED_DELAY_MS = 5_000;

/** What a loader is built from. */
export interface WeightLoaderOptions {
  /** Name of the agent's VM. */
  readonly holder: string;
  readonly control: EngineControl;
  readonly clock: Clock;
  readonly log: EventLog;
}

/** Loads weights into one engine. */
export class WeightLoader {
  private readonly pendingOrders = new Map<string, LoadOrder>();
  private nextOrderAtMs = 0;
  private isSending = false;

  private constructor(private readonly options: WeightLoaderOptions) {}

  /** Builds a loader without orders. */
  static create(options: WeightLoaderOptions): WeightLoader {
    return new WeightLoader(options);
  }

  /** Takes an order of the home; a newer version replaces an older one. */
  request(order: LoadOrder): void {
    const known = this.pendingOrders.get(order.model);
    if (known !== undefined && known.version > order.version) return;
    this.pendingOrders.set(order.model, order);
  }

  /** Tells whether an order is not met yet. */
  isPending(): boolean {
    return this.pendingOrders.size > 0;
  }

  /** Gives the next order, if the engine's report calls for one. */
  async advance(report: EngineReport): Promise<void> {
    for (const [model, order] of this.pendingOrders) {
      if ((report.versions[model] ?? 0) >= order.version) {
        this.finishOrder(order);
      }
    }
    const order = this.pendingOrders.values().next().value;
    const nowMs = this.options.clock.readMonotonicMs();
    if (order === undefined || report.isBusy || this.isSending) return;
    if (nowMs < this.nextOrderAtMs) return;
    this.isSending = true;
    await this.sendOrder(order, report);
    this.isSending = false;
  }

  private finishOrder(order: LoadOrder): void {
    const {model, version} = order;
    this.pendingOrders.delete(model);
    this.nextOrderAtMs = 0;
    this.options.log.writeEvent('swap-finished', {model, version});
  }

  private async sendOrder(
    order: LoadOrder,
    report: EngineReport,
  ): Promise<void> {
    const {control, holder, log} = this.options;
    const {endpointId, model, version, fencingNumber, finishesRuns} = order;
    const {orderSequence} = report;
    log.writeEvent('swap-started', {endpoint: endpointId, model, version});
    const answer = await control.orderVersion({
      endpointId,
      model,
      version,
      holder,
      fencingNumber,
      finishesRuns,
      orderSequence,
    });
    if (answer.isErr()) {
      const {detail} = answer.error;
      log.writeEvent('swap-failed', {model, version, detail});
      const mayHold = answer.error.outcome !== 'not-run';
      return this.scheduleNextOrder(
        mayHold ? UNANSWERED_DELAY_MS : RETRY_DELAY_MS,
      );
    }
    if (answer.value === 'holds') return this.finishOrder(order);
    if (answer.value === 'accepted') {
      return this.scheduleNextOrder(ACCEPTED_DELAY_MS);
    }
    log.writeEvent('swap-failed', {model, version, detail: answer.value});
    if (answer.value === 'refused') this.pendingOrders.delete(model);
    this.scheduleNextOrder(RETRY_DELAY_MS);
  }

  private scheduleNextOrder(delayMs: number): void {
    this.nextOrderAtMs = this.options.clock.readMonotonicMs() + delayMs;
  }
}
