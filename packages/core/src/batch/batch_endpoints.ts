/** The endpoints of a home, and the runs there that are to be broken off. */
import type {BatchEndpointRegistration} from './batch_endpoint';
import {TrackedRun, BatchEndpoint} from './batch_endpoint';
import type {Reservation, BatchEndpointView} from './start_plan';

/** Endpoints by id. */
export class BatchEndpoints {
  private readonly endpoints = new Map<string, BatchEndpoint>();
  /** Places that are reservedSlots for items on their way to a faster endpoint. */
  private readonly reservations = new Map<string, Reservation>();
  /** Endpoint of each run that is to be broken off. */
  private readonly stops = new Map<string, string>();

  private constructor() {}

  /** Builds an empty pool. */
  static create(): BatchEndpoints {
    return new BatchEndpoints();
  }

  /** Finds an endpoint. */
  find(endpointId: string): BatchEndpoint | undefined {
    return this.endpoints.get(endpointId);
  }

  /** Lists every endpoint. */
  list(): BatchEndpoint[] {
    return [...this.endpoints.values()];
  }

  /** Tells whether every agent has said what it has. */
  hasAllReports(): boolean {
    return this.list().every(endpoint => endpoint.engine !== undefined);
  }

  /** Takes a registration. */
  register(registration: BatchEndpointRegistration): void {
    const known = this.endpoints.get(registration.endpointId);
    if (known !== undefined) {
      known.registration = registration;
      return;
    }
    const endpoint = BatchEndpoint.create(registration);
    this.endpoints.set(registration.endpointId, endpoint);
  }

  /** Forgets an endpoint. */
  remove(endpointId: string): void {
    this.endpoints.delete(endpointId);
  }

  /** Finds a run by its name. */
  findRun(runId: string): {endpointId: string; run: TrackedRun} | undefined {
    for (const [endpointId, endpoint] of this.endpoints) {
      const run = endpoint.runs.get(runId);
      if (run !== undefined) return {endpointId, run};
    }
    return undefined;
  }

  /** Has a run broken off, and counts it no longer. */
  stopRun(runId: string, endpointId: string): void {
    this.stops.set(runId, endpointId);
    this.endpoints.get(endpointId)?.runs.delete(runId);
  }

  /** Takes the runs that are to be broken off, with their endpoints. */
  takeStops(): Array<[string, string]> {
    const stops = [...this.stops];
    this.stops.clear();
    return stops;
  }

  /** Returns the places that are reservedSlots, by item. */
  getReservations(): ReadonlyMap<string, Reservation> {
    return this.reservations;
  }

  /** Keeps a place for an item. */
  reserveSlot(itemId: string, reservation: Reservation): void {
    this.reservations.set(itemId, reservation);
  }

  /** Frees the place that was reservedSlots for an item. */
  releaseSlot(itemId: string): void {
    this.reservations.delete(itemId);
  }

  /** Frees places that were reservedSlots for items which did not come. */
  expireReservations(nowMs: number): void {
    for (const [itemId, {expiresAtMs}] of this.reservations) {
      if (expiresAtMs <= nowMs) this.reservations.delete(itemId);
    }
  }

  /** Describes the endpoints for plans. */
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
