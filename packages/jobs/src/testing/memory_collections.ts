/** Collections of objects in memory, whose writes a test can hold up. */
import {createError} from '@sassafrasspan/core';
import type {
  CollectionObject,
  ObjectCollections,
} from '@sassafrasspan/platform';
import {err, ok} from 'neverthrow';

/** Methods that nothing here calls are missing. */
type UsedCollections = Omit<ObjectCollections, 'watchObjects' | 'removeObject'>;

export class MemoryCollections implements UsedCollections {
  /** Whether no call is answered. */
  isDown = false;
  /** Called before a status is written. */
  beforeStatus: () => Promise<void> = async () => undefined;
  private readonly objects = new Map<string, CollectionObject>();

  private constructor() {}

  static create(): MemoryCollections {
    return new MemoryCollections();
  }

  async readObject(kind: string, name: string) {
    if (this.isDown) return err(createError('platform-down', 'down'));
    return ok(this.objects.get(`${kind}/${name}`));
  }

  async listObjects(kind: string) {
    if (this.isDown) return err(createError('platform-down', 'down'));
    const objects = [...this.objects]
      .filter(([key]) => key.startsWith(`${kind}/`))
      .map(([, object]) => object);
    return ok({objects, storeVersion: 0});
  }

  async createObject(kind: string, name: string, value: unknown) {
    const isNew = !this.objects.has(`${kind}/${name}`);
    return this.write(kind, name, {value}, isNew);
  }

  async replaceObject(
    kind: string,
    name: string,
    value: unknown,
    version: number,
  ) {
    const isKnown = this.objects.get(`${kind}/${name}`)?.version === version;
    return this.write(kind, name, {value}, isKnown);
  }

  async writeStatus(kind: string, name: string, status: unknown) {
    await this.beforeStatus();
    return this.write(kind, name, {status}, true);
  }

  private write(
    kind: string,
    name: string,
    changes: Partial<CollectionObject>,
    isAllowed: boolean,
  ) {
    if (this.isDown) return err(createError('platform-down', 'down'));
    if (!isAllowed) return err(createError('conflict', name));
    const key = `${kind}/${name}`;
    const known = this.objects.get(key);
    const version = (known?.version ?? 0) + 1;
    const object = {name, value: known?.value, status: known?.status, version};
    this.objects.set(key, {...object, ...changes});
    return ok({...object, ...changes});
  }
}
