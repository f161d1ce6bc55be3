/**
 * What an agent knows of the coordinator of its runs: the one with the highest epoch
 * that has called, and when it last did. Runs go on without a coordinator for a
 * while, for the next one to take over.
 */
import type {CoordinatorContactReport} from '@sassafrasspan/core';

/** Time without contact with a coordinator after which its runs are orphaned. */
const COORDINATOR_TIMEOUT_MS = 8_000;
/** Age that stands for no contact in reports, in ms. */
const NO_CONTACT_MS = 1e9;

export class KnownCoordinator {
  private lastContactAtMs = -Infinity;
  private hasClosedCall = false;

  private constructor(readonly epoch: number) {}

  /** Returns the state before any coordinator has called. */
  static create(): KnownCoordinator {
    return new KnownCoordinator(0);
  }

  /** Returns the state after a coordinator with a higher epoch has called. */
  static createSuccessor(epoch: number, nowMs: number): KnownCoordinator {
    const coordinator = new KnownCoordinator(epoch);
    coordinator.recordContact(nowMs);
    return coordinator;
  }

  recordContact(nowMs: number): void {
    this.lastContactAtMs = nowMs;
    this.hasClosedCall = false;
  }

  /** Records that it closed a call without reading the answer: its process has
   * probably ended. */
  recordClosedCall(): void {
    this.hasClosedCall = true;
  }

  /** Returns whether its runs must be stopped, as no coordinator has called for long. */
  isLost(nowMs: number): boolean {
    return nowMs - this.lastContactAtMs >= COORDINATOR_TIMEOUT_MS;
  }

  /** Returns the age of the last contact, for nodes that elect a coordinator. */
  report(nowMs: number): CoordinatorContactReport {
    const ageMs = Math.min(nowMs - this.lastContactAtMs, NO_CONTACT_MS);
    return {
      epoch: this.epoch,
      agoMs: this.hasClosedCall ? NO_CONTACT_MS : ageMs,
    };
  }
}
