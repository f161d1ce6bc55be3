/** The batch endpoints of a coordinator, their reserved slots, and the runs to be
 * stopped there. */
import type {BatchEndpointRegistration} from './batch_endpoint';
import {TrackedRun, BatchEndpoint} from './batch_endpoint';
import type {Reservation, BatchEndpointView} from './start_plan';

/** Batch endpoints by ID. */
export class BatchEndpoints {
  private readonly endpoints = new Map<string, BatchEndpoint>();
  /** Slots reserved for items that move to a faster endpoint, by item ID. */
  private readonly reservations = new Map<string, Reservation>();
  /** Endpoint of each run to be stopped, by run ID. */
  private readonly stops = new Map<string, string>();

  private constructor() {}

  static create(): BatchEndpoints {
    return new BatchEndpoints();
  }

  find(endpointId: string): BatchEndpoint | undefined {
    return this.endpoints.get(endpointId);
  }

  list(): BatchEndpoint[] {
    return [...this.endpoints.values()];
  }

  /** Returns whether every agent has reported its runs and its engine. */
  hasAllReports(): boolean {
    return this.list().every(endpoint => endpoint.engine !== undefined);
  }

  /** Adds an endpoint, or updates its registration and keeps its state. */
  register(registration: BatchEndpointRegistration): void {
    const existing = this.endpoints.get(registration.endpointId);
    if (existing !== undefined) {
      existing.registration = registration;
      return;
    }
    const endpoint = BatchEndpoint.create(registration);
    this.endpoints.set(registration.endpointId, endpoint);
  }

  remove(endpointId: string): void {
    this.endpoints.delete(endpointId);
  }

  /** Finds a tracked run and its endpoint. */
  findRun(runId: string): {endpointId: string; run: TrackedRun} | undefined {
    for (const [endpointId, endpoint] of this.endpoints) {
      const run = endpoint.runs.get(runId);
      if (run !== undefined) return {endpointId, run};
    }
    return undefined;
  }

  /** Queues an order to stop a run, and stops tracking the run. */
  stopRun(runId: string, endpointId: string): void {
    this.stops.set(runId, endpointId);
    this.endpoints.get(endpointId)?.runs.delete(runId);
  }

  /** Returns the IDs of the runs to be stopped, each with its endpoint, and clears
   * the queue. */
  takeStops(): Array<[string, string]> {
    const stops = [...this.stops];
    this.stops.clear();
    return stops;
  }

  /** Returns the reservations by item ID. */
  getReservations(): ReadonlyMap<string, Reservation> {
    return this.reservations;
  }

  reserveSlot(itemId: string, reservation: Reservation): void {
    this.reservations.set(itemId, reservation);
  }

  releaseSlot(itemId: string): void {
    this.reservations.delete(itemId);
  }

  /** Releases slots whose items did not start there in time. */
  expireReservations(nowMs: number): void {
    for (const [itemId, {expiresAtMs}] of this.reservations) {
      if (expiresAtMs <= nowMs) this.reservations.delete(itemId);
    }
  }

  /** Returns the state of the endpoints for planning, with the versions of the
   * given models. */
  describe(models: readonly string[], nowMs: number): BatchEndpointView[] {
    const reservedSlots = new Map<string, number>();
    for (const {endpointId} of this.reservations.values()) {
      reservedSlots.set(endpointId, (reservedSlots.get(endpointId) ?? 0) + 1);
    }
    return this.list().map(endpoint =>
      endpoint.describe(
        models,
        reservedSlots.get(endpoint.registration.endpointId) ?? 0,
        nowMs,
      ),
    );
  }
}
