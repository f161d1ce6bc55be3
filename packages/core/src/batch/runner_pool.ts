/** The endpoints of a home, and the runs there that are to be broken off. */
import type {RunnerRegistration} from './runner_state';
import {FollowedRun, RunnerState} from './runner_state';
import type {Reservation, RunnerView} from './start_plan';

/** Endpoints by id. */
export class RunnerPool {
  private readonly runners = new Map<string, RunnerState>();
  /** Places that are kept for items on their way to a faster endpoint. */
  private readonly reserved = new Map<string, Reservation>();
  /** Endpoint of each run that is to be broken off. */
  private readonly stops = new Map<string, string>();

  private constructor() {}

  /** Builds an empty pool. */
  static create(): RunnerPool {
    return new RunnerPool();
  }

  /** Finds an endpoint. */
  find(endpointId: string): RunnerState | undefined {
    return this.runners.get(endpointId);
  }

  /** Lists every endpoint. */
  list(): RunnerState[] {
    return [...this.runners.values()];
  }

  /** Tells whether every agent has said what it has. */
  isHeard(): boolean {
    return this.list().every(runner => runner.engine !== undefined);
  }

  /** Takes a registration. */
  put(registration: RunnerRegistration): void {
    const known = this.runners.get(registration.endpointId);
    if (known !== undefined) {
      known.registration = registration;
      return;
    }
    const runner = RunnerState.create(registration);
    this.runners.set(registration.endpointId, runner);
  }

  /** Forgets an endpoint. */
  remove(endpointId: string): void {
    this.runners.delete(endpointId);
  }

  /** Finds a run by its name. */
  findRun(runId: string): {endpointId: string; run: FollowedRun} | undefined {
    for (const [endpointId, runner] of this.runners) {
      const run = runner.runs.get(runId);
      if (run !== undefined) return {endpointId, run};
    }
    return undefined;
  }

  /** Has a run broken off, and counts it no longer. */
  stopRun(runId: string, endpointId: string): void {
    this.stops.set(runId, endpointId);
    this.runners.get(endpointId)?.runs.delete(runId);
  }

  /** Takes the runs that are to be broken off, with their endpoints. */
  takeStops(): Array<[string, string]> {
    const stops = [...this.stops];
    this.stops.clear();
    return stops;
  }

  /** Returns the places that are kept, by item. */
  getReserved(): ReadonlyMap<string, Reservation> {
    return this.reserved;
  }

  /** Keeps a place for an item. */
  reserve(itemId: string, reservation: Reservation): void {
    this.reserved.set(itemId, reservation);
  }

  /** Frees the place that was kept for an item. */
  release(itemId: string): void {
    this.reserved.delete(itemId);
  }

  /** Frees places that were kept for items which did not come. */
  expireReservations(nowMs: number): void {
    for (const [itemId, {expiresAtMs}] of this.reserved) {
      if (expiresAtMs <= nowMs) this.reserved.delete(itemId);
    }
  }

  /** Describes the endpoints for plans. */
  describe(models: readonly string[], nowMs: number): RunnerView[] {
    const kept = new Map<string, number>();
    for (const {endpointId} of this.reserved.values()) {
      kept.set(endpointId, (kept.get(endpointId) ?? 0) + 1);
    }
    return this.list().map(runner =>
      runner.describe(
        models,
        kept.get(runner.registration.endpointId) ?? 0,
        nowMs,
      ),
    );
  }
}
