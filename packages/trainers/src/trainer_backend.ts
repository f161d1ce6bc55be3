/** What the HTTP side of trainers needs of the entry. */
import type {
  PublishedVersion,
  PullReply,
  ServiceError,
  StepDescription,
} from '@sassafrasspan/core';
import type {Result} from 'neverthrow';

/** A trainer's step, as its customer names it. */
export interface StepName {
  readonly customer: string;
  readonly trainer: string;
  readonly step: string;
}

/** What a trainer says when it pulls samples. */
export interface SamplePull {
  readonly cursor: string;
  /** Weight version that the trainer is at. */
  readonly trainerVersion: number;
  readonly maxSamples: number;
  /** How long to wait for a first sample, in ms. */
  readonly waitMs: number;
}

/** State of a step, for its trainer. */
export interface StepSummary {
  readonly trainer: string;
  readonly step: string;
  readonly total: number;
  readonly ready: number;
  readonly inFlight: number;
}

/** A weight version as a trainer publishes it. */
export interface VersionPublication {
  readonly customer: string;
  readonly trainer: string;
  readonly version: number;
  readonly weightsKey: string;
  /** Whether engines only stage the version, ahead of its publication. */
  readonly isAnnouncement: boolean;
}

/** What the entry offers to trainers. */
export interface TrainerBackend {
  /** Finds the customer of an API key by its SHA-256 in hexadecimal. */
  authenticate(keySha256: string): Result<string, ServiceError>;
  /** Describes a step; the same body again changes nothing. */
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
