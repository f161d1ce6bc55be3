/**
 * Weight versions on the small disk of a VM, under its data folder. A file
 * appears under its name only when it is whole.
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

/** Versions of a service that are kept; older ones are removed. */
const MAX_STORED_VERSIONS = 2;
const PARTIAL_SUFFIX = '.partial';
const DIGEST_SUFFIX = '.sha256';

/** Part of the weights of a version. */
export interface WeightBlock {
  /** Offset in bytes from the start. */
  readonly offset: number;
  readonly data: Uint8Array;
  readonly totalLength: number;
  /** SHA-256 of the whole in hexadecimal. */
  readonly sha256: string;
}

/** The weights that an agent keeps. */
export class WeightFiles {
  private constructor(private readonly folder: string) {}

  /** Builds the store of files below a data folder. */
  static create(dataFolder: string): WeightFiles {
    return new WeightFiles(path.join(dataFolder, 'weights'));
  }

  /** Tells whether the whole of a version is here. */
  async hasVersion(service: string, version: number): Promise<boolean> {
    const found = await stat(this.getFilePath(service, version)).catch(
      () => undefined,
    );
    return found !== undefined;
  }

  /** Keeps the bytes of a version, and removes versions long replaced. */
  async saveVersion(
    service: string,
    version: number,
    bytes: AsyncIterable<Uint8Array>,
  ): Promise<void> {
    const file = this.getFilePath(service, version);
    await mkdir(path.dirname(file), {recursive: true});
    const partial = `${file}${PARTIAL_SUFFIX}`;
    const hash = createHash('sha256');
    const hashed = Readable.from(bytes).map((chunk: Uint8Array) => {
      hash.update(chunk);
      return chunk;
    });
    await pipeline(hashed, createWriteStream(partial));
    await writeFile(`${file}${DIGEST_SUFFIX}`, hash.digest('hex'));
    await rename(partial, file);
    await this.removeOldVersions(service);
  }

  private async removeOldVersions(service: string): Promise<void> {
    const folder = path.join(this.folder, service);
    const names = await readdir(folder);
    const versions = names.map(Number).filter(Number.isInteger);
    versions.sort((a, b) => b - a);
    for (const version of versions.slice(MAX_STORED_VERSIONS)) {
      const file = this.getFilePath(service, version);
      await rm(file, {force: true});
      await rm(`${file}${DIGEST_SUFFIX}`, {force: true});
    }
  }

  /** Reads up to `length` bytes; undefined when the version is not here. */
  async readBlock(
    service: string,
    version: number,
    offset: number,
    length: number,
  ): Promise<WeightBlock | undefined> {
    const name = this.getFilePath(service, version);
    const file = await open(name).catch(() => undefined);
    if (file === undefined) return undefined;
    try {
      const totalLength = (await file.stat()).size;
      const buffer = Buffer.alloc(Math.min(length, totalLength - offset));
      const {bytesRead} = await file.read(buffer, 0, buffer.length, offset);
      const sha256 = await readFile(`${name}${DIGEST_SUFFIX}`, 'utf8');
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
