/** The file operations that a journal uses; implemented by a real data folder and by the simulated disk. */

/** One append-only file. A failed operation may have reached the disk completely, in part or not at all. */
export interface DiskFile {
  /** Reads the file from an offset, by default its start. A chunk is valid only until the next one is requested. */
  chunks(start?: number): AsyncIterable<Buffer>;
  append(bytes: Buffer): Promise<void>;
  /** Resolves when all appended bytes are on disk. */
  sync(): Promise<void>;
  /** Truncates the file to `sizeBytes` and syncs it. */
  truncate(sizeBytes: number): Promise<void>;
  /**
   * Replaces the content atomically: the old content stays under the file's name until all chunks are synced. Until then
   * `append` and `sync` work on the old content. If `chunks` throws, the old content stays.
   */
  replace(chunks: Iterable<Buffer> | AsyncIterable<Buffer>): Promise<void>;
  close(): Promise<void>;
}

/** A data folder, whose files are opened by name. */
export interface Disk {
  /** Opens a file, or creates it if it does not exist. */
  open(name: string): Promise<DiskFile>;
  /**
   * Renames a damaged file to `NAME.damaged`, so that a new one can be opened under its name; no error if it is
   * missing.
   */
  setAside(name: string): Promise<void>;
}
