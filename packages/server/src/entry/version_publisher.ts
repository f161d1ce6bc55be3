/**
 * Publishes weight versions by updating a service's pointer to its latest
 * version. The pointer is a `PublishedVersion` record in the object API, which
 * stores small versioned records.
 */
import {randomUUID} from 'node:crypto';
import {
  Clock,
  PublishedVersion,
  RulesHolder,
  ServiceError,
  PUBLISHED_VERSION_SCHEMA,
  createError,
  formatVersionKey,
} from '@sassafrasspan/core';
import type {ObjectStore} from '@sassafrasspan/platform';
import type {EventLog} from '@sassafrasspan/runtime';
import type {VersionPublication} from '@sassafrasspan/trainers';
import {Result, err, ok} from 'neverthrow';

export interface VersionPublisherOptions {
  readonly store: ObjectStore;
  readonly rules: RulesHolder;
  readonly clock: Clock;
  readonly log: EventLog;
}

export class VersionPublisher {
  private constructor(private readonly options: VersionPublisherOptions) {}

  static create(options: VersionPublisherOptions): VersionPublisher {
    return new VersionPublisher(options);
  }

  /**
   * Publishes or announces a version. Publishing the current version again
   * changes nothing; an older version is a conflict.
   */
  async publishVersion(
    publication: VersionPublication,
  ): Promise<Result<PublishedVersion, ServiceError>> {
    const service = this.findService(publication);
    if (service.isErr()) return err(service.error);
    const key = formatVersionKey(service.value);
    const object = await this.options.store.readObject(key);
    if (object.isErr()) return err(object.error);
    const current = PUBLISHED_VERSION_SCHEMA.safeParse(object.value.value);
    if (current.success && current.data.version >= publication.version) {
      return checkRepublication(current.data, publication);
    }
    const currentPointer = current.success ? current.data : undefined;
    const pointer = this.createPointer(
      service.value,
      publication,
      currentPointer,
    );
    const objectVersion = object.value.version;
    const written = await this.options.store.writeObject(
      key,
      pointer,
      objectVersion,
    );
    if (written.isErr()) return this.verifyWrite(key, pointer, written.error);
    const {version} = pointer;
    this.options.log.writeEvent('version-published', {
      service: service.value,
      version,
    });
    return ok(pointer);
  }

  /** Creates the next pointer, with a published or an announced version. */
  private createPointer(
    service: string,
    publication: VersionPublication,
    current: PublishedVersion | undefined,
  ): PublishedVersion {
    const {version, weightsKey} = publication;
    const operationId = randomUUID();
    if (publication.isAnnouncement) {
      const base = current ?? createInitialPointer(service);
      return {...base, operationId, announced: {version, weightsKey}};
    }
    const publishedAtMs = this.options.clock.readWallMs();
    return {service, version, weightsKey, operationId, publishedAtMs};
  }

  private findService(
    publication: VersionPublication,
  ): Result<string, ServiceError> {
    const ruleSet = this.options.rules.getRuleSet();
    if (ruleSet === undefined) {
      return err(createError('not-ready', 'the entry has no rules yet'));
    }
    const trainer = ruleSet.findTrainer(publication.trainer);
    if (trainer === undefined) {
      return err(
        createError('not-found', `there is no trainer ${publication.trainer}`),
      );
    }
    if (trainer.customer === publication.customer) return ok(trainer.service);
    return err(
      createError(
        'forbidden',
        `trainer ${publication.trainer} belongs to another customer`,
      ),
    );
  }

  /** Reads the pointer back to find out if a failed write took effect anyway. */
  private async verifyWrite(
    key: string,
    pointer: PublishedVersion,
    cause: ServiceError,
  ): Promise<Result<PublishedVersion, ServiceError>> {
    const object = await this.options.store.readObject(key);
    if (object.isErr()) return err(cause);
    const current = PUBLISHED_VERSION_SCHEMA.safeParse(object.value.value);
    const isOurs =
      current.success && current.data.operationId === pointer.operationId;
    return isOurs ? ok(pointer) : err(cause);
  }
}

/** Returns the pointer of a service without a published version. */
function createInitialPointer(service: string): PublishedVersion {
  return {
    service,
    version: 0,
    weightsKey: '',
    operationId: '',
    publishedAtMs: 0,
  };
}

/**
 * Handles the publication of a version that is not newer than the current one:
 * returns the pointer if the publication repeats it, otherwise fails with
 * `conflict`.
 */
function checkRepublication(
  current: PublishedVersion,
  publication: VersionPublication,
): Result<PublishedVersion, ServiceError> {
  const isSame =
    current.version === publication.version &&
    current.weightsKey === publication.weightsKey;
  if (isSame) return ok(current);
  const detail = `version ${current.version} is already published`;
  return err(createError('conflict', detail));
}
