/**
 * Loads weight versions into an agent's local engine. Only this agent controls
 * its engine. The fencing number of an order is the epoch of the coordinator
 * that sent it. Only orders of the newest coordinator are pending, so that the
 * fencing numbers that the engine receives never decrease, also after it was
 * unreachable for several epochs. An order whose answer was lost may still take
 * effect seconds later, so the engine's own report decides what to do next.
 */
import type {Clock, LoadOrder} from '@sassafrasspan/core';
import type {EventLog} from '@sassafrasspan/runtime';
import type {EngineControl, EngineReport} from './engine_ports';

/** Delay before an order is sent again after a failure. */
const RETRY_DELAY_MS = 250;
/**
 * Time for an order without an answer to take effect. The platform documents a
 * delay of 2 to 12 s, but versions only increase, so a late load is harmless and
 * waiting only avoids a second one.
 */
const UNANSWERED_DELAY_MS = 1_200;
/** Time for an accepted order to appear in the engine's report. */
const ACCEPTED_DELAY_MS = 5_000;

export interface WeightLoaderOptions {
  /** Name of the agent's VM. */
  readonly holder: string;
  readonly control: EngineControl;
  readonly clock: Clock;
  readonly log: EventLog;
}

/** Sends load orders to one engine, one at a time, until they are fulfilled. */
export class WeightLoader {
  /** Orders whose version the engine hasn't reported yet, by model. */
  private readonly pendingOrders = new Map<string, LoadOrder>();
  /** Epoch of the newest coordinator, whose orders alone are sent. */
  private epoch = 0;
  private nextOrderAtMs = 0;
  private isSending = false;

  private constructor(private readonly options: WeightLoaderOptions) {}

  static create(options: WeightLoaderOptions): WeightLoader {
    return new WeightLoader(options);
  }

  /**
   * Drops the pending orders of earlier coordinators. The new one orders again
   * whatever is still needed, from the engine's state.
   */
  startEpoch(epoch: number): void {
    if (epoch <= this.epoch) return;
    this.epoch = epoch;
    for (const {model, version, fencingNumber} of this.pendingOrders.values()) {
      this.pendingOrders.delete(model);
      const fields = {model, version, fencingNumber, epoch};
      this.options.log.writeEvent('swap-dropped', fields);
    }
  }

  /**
   * Adds an order of the newest coordinator, unless a newer version is pending.
   * An order of an earlier coordinator has no effect.
   */
  request(order: LoadOrder): void {
    if (order.fencingNumber < this.epoch) return;
    this.startEpoch(order.fencingNumber);
    const known = this.pendingOrders.get(order.model);
    if (known !== undefined && known.version > order.version) return;
    this.pendingOrders.set(order.model, order);
  }

  /** Returns whether any order is pending. */
  isPending(): boolean {
    return this.pendingOrders.size > 0;
  }

  /**
   * Removes the orders that the engine's report shows as fulfilled, and sends
   * the next one unless the engine is busy or the retry delay has not passed.
   */
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
    this.removeOrder(order);
    this.nextOrderAtMs = 0;
    this.options.log.writeEvent('swap-finished', {model, version});
  }

  /** Removes an order, unless another one has replaced it meanwhile. */
  private removeOrder(order: LoadOrder): void {
    const {model} = order;
    if (this.pendingOrders.get(model) !== order) return;
    this.pendingOrders.delete(model);
  }

  private async sendOrder(
    order: LoadOrder,
    report: EngineReport,
  ): Promise<void> {
    const {control, holder, log} = this.options;
    // `finishesRuns`: active runs finish with the previous version first.
    const {endpointId, model, version, fencingNumber, finishesRuns} = order;
    // The engine rejects the order if it has accepted others since the report.
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
      const mayTakeEffect = answer.error.outcome !== 'not-run';
      return this.scheduleNextOrder(
        mayTakeEffect ? UNANSWERED_DELAY_MS : RETRY_DELAY_MS,
      );
    }
    if (answer.value === 'holds') return this.finishOrder(order);
    if (answer.value === 'accepted') {
      return this.scheduleNextOrder(ACCEPTED_DELAY_MS);
    }
    log.writeEvent('swap-failed', {model, version, detail: answer.value});
    if (answer.value === 'refused') this.removeOrder(order);
    this.scheduleNextOrder(RETRY_DELAY_MS);
  }

  private scheduleNextOrder(delayMs: number): void {
    this.nextOrderAtMs = this.options.clock.readMonotonicMs() + delayMs;
  }
}
