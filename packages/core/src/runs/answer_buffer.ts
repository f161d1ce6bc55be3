/**
 * Buffers the answer of one run at the agent: contiguous chunks, then one final
 * frame. Readers can read it from any offset, any number of times.
 */
import type {ServiceError} from '../errors/error_kinds';

/** Consecutive bytes of an answer, produced by one weight version. */
export interface AnswerChunk {
  /** Offset in bytes from the start of the body. */
  readonly offset: number;
  readonly data: Uint8Array;
  /** Weight version; 0 for plain services. */
  readonly weightVersion: number;
  readonly tokens: number;
}

/** Bytes [from, to) of an answer, produced by one weight version. */
export interface VersionSegment {
  readonly version: number;
  readonly from: number;
  readonly to: number;
}

/** An HTTP header. */
export interface HeaderField {
  readonly name: string;
  readonly value: string;
}

/** Status and headers of a plain service's answer. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: readonly HeaderField[];
}

/** Metadata at the end of a complete answer. */
export interface AnswerEnd {
  /** Length of the body in bytes. */
  readonly totalLength: number;
  readonly segments: readonly VersionSegment[];
  readonly finishReason: string;
  readonly promptTokens: number;
  readonly completionTokens: number;
  readonly cachedTokens: number;
}

/** The part of the end metadata that the engine or service reports. */
export type EndReport = Omit<AnswerEnd, 'totalLength' | 'segments'>;

/** A frame of an answer; `end` or `failed` is the last one. */
export type AnswerFrame =
  | {readonly type: 'accepted'}
  | {readonly type: 'head'; readonly head: AnswerHead}
  | {readonly type: 'chunk'; readonly chunk: AnswerChunk}
  | {readonly type: 'end'; readonly end: AnswerEnd}
  | {readonly type: 'failed'; readonly error: ServiceError};

/** Receives each new frame of an answer. */
export type FrameListener = (frame: AnswerFrame) => void;

/** Buffers one answer and replays it to readers. */
export class AnswerBuffer {
  private head: AnswerHead | undefined;
  private readonly chunks: AnswerChunk[] = [];
  private finalFrame: AnswerFrame | undefined;
  private length = 0;
  private isAccepted = false;
  private readonly listeners = new Set<FrameListener>();

  private constructor() {}

  static create(): AnswerBuffer {
    return new AnswerBuffer();
  }

  /** Records that the work has started; later calls have no effect. */
  markAccepted(): void {
    if (this.isAccepted) return;
    this.isAccepted = true;
    this.notifyListeners({type: 'accepted'});
  }

  /** Records the status and headers of a plain service's answer. */
  setHead(head: AnswerHead): void {
    this.head = head;
    this.notifyListeners({type: 'head', head});
  }

  /** Appends bytes to the body; ignored once the answer has ended. */
  appendData(data: Uint8Array, weightVersion: number, tokens: number): void {
    if (this.finalFrame !== undefined) return;
    const chunk = {offset: this.length, data, weightVersion, tokens};
    this.chunks.push(chunk);
    this.length += data.length;
    this.notifyListeners({type: 'chunk', chunk});
  }

  /** Ends the answer as complete. */
  finish(report: EndReport): void {
    const totalLength = this.length;
    const segments = mergeSegments(this.chunks);
    this.setFinalFrame({type: 'end', end: {...report, totalLength, segments}});
  }

  /** Ends the answer as failed. */
  fail(error: ServiceError): void {
    this.setFinalFrame({type: 'failed', error});
  }

  /** Returns whether the answer has completed or failed. */
  hasEnded(): boolean {
    return this.finalFrame !== undefined;
  }

  /** Returns the last frame, or undefined while the answer is in progress. */
  getFinalFrame(): AnswerFrame | undefined {
    return this.finalFrame;
  }

  /** Returns the number of body bytes received so far. */
  getLength(): number {
    return this.length;
  }

  /**
   * Replays the answer from an offset, then passes new frames to the listener.
   * Returns a function that ends the subscription.
   */
  subscribe(fromOffset: number, listener: FrameListener): () => void {
    if (this.isAccepted) listener({type: 'accepted'});
    if (this.head !== undefined) listener({type: 'head', head: this.head});
    for (const chunk of this.chunks) {
      if (chunk.offset + chunk.data.length > fromOffset) {
        listener({type: 'chunk', chunk: trimChunk(chunk, fromOffset)});
      }
    }
    if (this.finalFrame !== undefined) listener(this.finalFrame);
    else this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  private setFinalFrame(frame: AnswerFrame): void {
    if (this.finalFrame !== undefined) return;
    this.finalFrame = frame;
    this.notifyListeners(frame);
    this.listeners.clear();
  }

  private notifyListeners(frame: AnswerFrame): void {
    for (const listener of [...this.listeners]) listener(frame);
  }
}

/** Returns the part of a chunk that begins at an offset. */
export function trimChunk(chunk: AnswerChunk, fromOffset: number): AnswerChunk {
  const skipped = fromOffset - chunk.offset;
  if (skipped <= 0) return chunk;
  return {...chunk, offset: fromOffset, data: chunk.data.subarray(skipped)};
}

/** Merges adjacent chunks of the same weight version into segments. */
export function mergeSegments(
  chunks: readonly AnswerChunk[],
): VersionSegment[] {
  const segments: VersionSegment[] = [];
  for (const chunk of chunks) {
    const to = chunk.offset + chunk.data.length;
    const last = segments[segments.length - 1];
    if (last?.version === chunk.weightVersion) {
      segments[segments.length - 1] = {...last, to};
    } else {
      segments.push({version: chunk.weightVersion, from: chunk.offset, to});
    }
  }
  return segments;
}
