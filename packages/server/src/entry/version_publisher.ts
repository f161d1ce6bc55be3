/** Publishes weight versions: moves a service's version head. */
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

/** What a publisher is built from. */
export interface VersionPublisherOptions {
  readonly store: ObjectStore;
  readonly rules: RulesHolder;
  readonly clock: Clock;
  readonly log: EventLog;
}

/** Moves the version heads of services. */
export class VersionPublisher {
  private constructor(private readonly options: VersionPublisherOptions) {}

  /** Builds a publisher. */
  static create(options: VersionPublisherOptions): VersionPublisher {
    return new VersionPublisher(options);
  }

  /** Publishes a version; the same one again changes nothing. */
  async publishVersion(
    publication: VersionPublication,
  ): Promise<Result<PublishedVersion, ServiceError>> {
    const service = this.findService(publication);
    if (service.isErr()) return err(service.error);
    const key = formatVersionKey(service.value);
    const found = await this.options.store.readObject(key);
    if (found.isErr()) return err(found.error);
    const current = PUBLISHED_VERSION_SCHEMA.safeParse(found.value.value);
    if (current.success && current.data.version >= publication.version) {
      return checkRepublication(current.data, publication);
    }
    const known = current.success ? current.data : undefined;
    const head = this.createPointer(service.value, publication, known);
    const objectVersion = found.value.version;
    const written = await this.options.store.writeObject(
      key,
      head,
      objectVersion,
    );
    if (written.isErr()) return this.verifyWrite(key, head, written.error);
    const {version} = head;
    this.options.log.writeEvent('version-published', {
      service: service.value,
      version,
    });
    return ok(head);
  }

  /** Builds the next head: a published version, or one announced ahead. */
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
    const book = this.options.rules.getRuleSet();
    if (book === undefined) {
      return err(createError('not-ready', 'the entry has no rules yet'));
    }
    const trainer = book.findTrainer(publication.trainer);
    if (trainer === undefined) {
      return err(createError('not-found', `no trainer ${publication.trainer}`));
    }
    if (trainer.customer === publication.customer) return ok(trainer.service);
    return err(createError('forbidden', `${publication.trainer} is not yours`));
  }

  /** Reads back whether a write with a lost reply took effect. */
  private async verifyWrite(
    key: string,
    head: PublishedVersion,
    cause: ServiceError,
  ): Promise<Result<PublishedVersion, ServiceError>> {
    const found = await this.options.store.readObject(key);
    if (found.isErr()) return err(cause);
    const current = PUBLISHED_VERSION_SCHEMA.safeParse(found.value.value);
    const isOurs =
      current.success && current.data.operationId === head.operationId;
    return isOurs ? ok(head) : err(cause);
  }
}

/** The head of a service before its first published version. */
function createInitialPointer(service: string): PublishedVersion {
  return {
    service,
    version: 0,
    weightsKey: '',
    operationId: '',
    publishedAtMs: 0,
  };
}

function checkRepublication(
  current: PublishedVersion,
  publication: VersionPublication,
): Result<PublishedVersion, ServiceError> {
  const isSame =
    current.version === publication.version &&
    current.weightsKey === publication.weightsKey;
  if (isSame) return ok(current);
  const detail = `version ${current.version} is published already`;
  return err(createError('conflict', detail));
}
