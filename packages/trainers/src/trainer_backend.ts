/** Interface of the entry that the trainers' HTTP API calls. */
import type {
  PublishedVersion,
  PullReply,
  ServiceError,
  StepDescription,
} from '@sassafrasspan/core';
import type {Result} from 'neverthrow';

/** Identifies a step: customer, trainer and the trainer's name for the step. */
export interface StepName {
  readonly customer: string;
  readonly trainer: string;
  readonly step: string;
}

/** A trainer's request for samples of a step. */
export interface SamplePull {
  /** Encodes which samples the trainer has received; empty at the first pull. */
  readonly cursor: string;
  /** Weight version that the trainer has reached. */
  readonly trainerVersion: number;
  readonly maxSamples: number;
  /** Maximum time to wait for the first sample, in ms. */
  readonly waitMs: number;
}

/** Progress of a step. */
export interface StepSummary {
  readonly trainer: string;
  readonly step: string;
  /** Number of slots. */
  readonly total: number;
  /** Number of samples that wait to be pulled. */
  readonly ready: number;
  /**
   * Number of copies that are being generated or scored; a copy is one attempt
   * at generating a slot's sample.
   */
  readonly inFlight: number;
}

/** A weight version that a trainer publishes or announces. */
export interface VersionPublication {
  readonly customer: string;
  readonly trainer: string;
  readonly version: number;
  /** Key of the weights in the weight store. */
  readonly weightsKey: string;
  /**
   * Whether the version is only announced: engines stage it (load it without
   * activating it) until it is published.
   */
  readonly isAnnouncement: boolean;
}

export interface TrainerBackend {
  /** Returns the customer of an API key, given its SHA-256 in hexadecimal. */
  authenticate(keySha256: string): Result<string, ServiceError>;
  /** Creates a step; repeating the call with the same body has no effect. */
  putStep(
    name: StepName,
    description: StepDescription,
  ): Promise<Result<StepSummary, ServiceError>>;
  pullSamples(
    name: StepName,
    pull: SamplePull,
  ): Promise<Result<PullReply, ServiceError>>;
  publishVersion(
    publication: VersionPublication,
  ): Promise<Result<PublishedVersion, ServiceError>>;
}
