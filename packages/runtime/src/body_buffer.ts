/**
 * Collects the chunks of a body so that it costs its length and a constant,
 * however small its chunks are. A chunk is a view of the buffer that was read from
 * the connection and keeps all of that buffer; small ones are copied together.
 */

/** Size from which a chunk that fills most of its buffer is kept as it is. */
const MIN_KEPT_BYTES = 8_192;
const MIN_BLOCK_BYTES = 1_024;
const MAX_BLOCK_BYTES = 65_536;

/** A body that is being received. */
export class BodyBuffer {
  private blocks: Buffer[] = [];
  private block: Buffer | undefined;
  /** Bytes of the block that are used. */
  private used = 0;
  private length = 0;

  private constructor(private readonly expectedBytes: number) {}

  /** A body of `expectedBytes`, if they are trusted, is copied into one block. */
  static create(expectedBytes = 0): BodyBuffer {
    return new BodyBuffer(expectedBytes);
  }

  getLength(): number {
    return this.length;
  }

  append(chunk: Buffer): void {
    const isDense = chunk.length * 2 >= chunk.buffer.byteLength;
    const isKept = chunk.length >= MIN_KEPT_BYTES && isDense;
    if (isKept && this.expectedBytes === 0) {
      this.closeBlock();
      this.blocks.push(chunk);
    } else this.copyChunk(chunk);
    this.length += chunk.length;
  }

  /** Returns the body and releases the blocks. */
  take(): Buffer {
    this.closeBlock();
    const [first = Buffer.alloc(0)] = this.blocks;
    const body = this.blocks.length > 1 ? Buffer.concat(this.blocks) : first;
    this.clear();
    return body;
  }

  clear(): void {
    this.blocks = [];
    this.block = undefined;
    this.used = 0;
    this.length = 0;
  }

  private copyChunk(chunk: Buffer): void {
    let offset = 0;
    while (offset < chunk.length) {
      const block = this.block ?? this.addBlock();
      const copied = chunk.copy(block, this.used, offset);
      offset += copied;
      this.used += copied;
      if (this.used === block.length) this.closeBlock();
    }
  }

  /** Adds a block as large as what has arrived, within bounds. */
  private addBlock(): Buffer {
    const grown = Math.max(MIN_BLOCK_BYTES, this.length);
    const isFirst = this.length === 0 && this.expectedBytes > 0;
    const size = isFirst
      ? this.expectedBytes
      : Math.min(MAX_BLOCK_BYTES, grown);
    this.block = Buffer.allocUnsafeSlow(size);
    return this.block;
  }

  private closeBlock(): void {
    if (this.block !== undefined && this.used > 0) {
      this.blocks.push(this.block.subarray(0, this.used));
    }
    this.block = undefined;
    this.used = 0;
  }
}
