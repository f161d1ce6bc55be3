/**
 * Stores weight versions on the local disk of a VM, which is small: one file
 * per version, under the data folder. A file gets its final name only when it is
 * complete.
 */
import {createHash} from 'node:crypto';
import {createWriteStream} from 'node:fs';
import {
  mkdir,
  open,
  readFile,
  readdir,
  rename,
  rm,
  stat,
  writeFile,
} from 'node:fs/promises';
import path from 'node:path';
import {Readable} from 'node:stream';
import {pipeline} from 'node:stream/promises';

/** Versions stored per model service; older ones are removed. */
const MAX_STORED_VERSIONS = 2;
const PARTIAL_SUFFIX = '.partial';
const DIGEST_SUFFIX = '.sha256';

/** A range of bytes of a weight version's file. */
export interface WeightBlock {
  /** Offset from the start, in bytes. */
  readonly offset: number;
  readonly data: Uint8Array;
  /** Size of the complete version in bytes. */
  readonly totalLength: number;
  /** SHA-256 of the complete version in hexadecimal. */
  readonly sha256: string;
}

export class WeightFiles {
  private constructor(private readonly folder: string) {}

  static create(dataFolder: string): WeightFiles {
    return new WeightFiles(path.join(dataFolder, 'weights'));
  }

  /** Returns whether the complete version is stored. */
  async hasVersion(service: string, version: number): Promise<boolean> {
    const stats = await stat(this.getFilePath(service, version)).catch(
      () => undefined,
    );
    return stats !== undefined;
  }

  /** Stores a version with its digest, then removes old versions. */
  async saveVersion(
    service: string,
    version: number,
    bytes: AsyncIterable<Uint8Array>,
  ): Promise<void> {
    const filePath = this.getFilePath(service, version);
    await mkdir(path.dirname(filePath), {recursive: true});
    const partialPath = `${filePath}${PARTIAL_SUFFIX}`;
    const hash = createHash('sha256');
    const hashed = Readable.from(bytes).map((chunk: Uint8Array) => {
      hash.update(chunk);
      return chunk;
    });
    await pipeline(hashed, createWriteStream(partialPath));
    await writeFile(`${filePath}${DIGEST_SUFFIX}`, hash.digest('hex'));
    await rename(partialPath, filePath);
    await this.removeOldVersions(service);
  }

  private async removeOldVersions(service: string): Promise<void> {
    const folder = path.join(this.folder, service);
    const names = await readdir(folder);
    const versions = names.map(Number).filter(Number.isInteger);
    versions.sort((a, b) => b - a);
    for (const version of versions.slice(MAX_STORED_VERSIONS)) {
      const filePath = this.getFilePath(service, version);
      await rm(filePath, {force: true});
      await rm(`${filePath}${DIGEST_SUFFIX}`, {force: true});
    }
  }

  /** Reads up to `length` bytes; undefined if the version is not stored. */
  async readBlock(
    service: string,
    version: number,
    offset: number,
    length: number,
  ): Promise<WeightBlock | undefined> {
    const filePath = this.getFilePath(service, version);
    const file = await open(filePath).catch(() => undefined);
    if (file === undefined) return undefined;
    try {
      const totalLength = (await file.stat()).size;
      const buffer = Buffer.alloc(Math.min(length, totalLength - offset));
      const {bytesRead} = await file.read(buffer, 0, buffer.length, offset);
      const sha256 = await readFile(`${filePath}${DIGEST_SUFFIX}`, 'utf8');
      const data = buffer.subarray(0, bytesRead);
      return {offset, data, totalLength, sha256};
    } finally {
      await file.close();
    }
  }

  private getFilePath(service: string, version: number): string {
    return path.join(this.folder, service, String(version));
  }
}
