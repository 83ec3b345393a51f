/** The content of a file on a simulated disk: its bytes as of the last sync, and as processes see them. */
import { GrowingBuffer } from '@tillerstair/wire';

/** A file that is appended to. The buffers that it returns do not change when more is appended. */
export class FileContent {
  private bytes = new GrowingBuffer();
  private syncedBytes: Buffer = Buffer.alloc(0);

  /** The bytes as of the last sync. */
  get synced(): Buffer {
    return this.syncedBytes;
  }

  /** The bytes as processes see them. */
  get cached(): Buffer {
    return this.bytes.toBuffer();
  }

  append(part: Buffer): void {
    this.bytes.append(part);
  }

  sync(): void {
    this.syncedBytes = this.cached;
  }

  /** Replaces the content with a synced one. */
  replaceWith(content: Buffer): void {
    this.bytes = new GrowingBuffer();
    this.bytes.append(content);
    this.sync();
  }
}
