/** The cloud, apart from its wire format. */
import type {UsageReport} from '@sassafrasspan/core';

/** Permission to call the cloud for a short time. */
export interface Permit {
  /** Name of the VM that holds the duty. */
  readonly holder: string;
  readonly token: number;
  /** Aborted when the permit ends. */
  readonly signal: AbortSignal;
  /** Returns whether the permit holds; must be asked right before a call is
   * written, since a process may be frozen at any moment. */
  isValid(): boolean;
}

/** Result of a call; `status` is undefined if there was no answer. */
export interface CloudAnswer {
  readonly status: number | undefined;
  readonly detail: string;
}

export interface CloudPort {
  reportUsage(report: UsageReport, permit: Permit): Promise<CloudAnswer>;
}
