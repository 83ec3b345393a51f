/** The files of a data folder as a journal needs them; a real folder and the simulated disk both implement it. */

/** One append-only file. An error of any operation leaves open what of it reached the disk. */
export interface DiskFile {
  /** The bytes of the file from its start. A chunk is valid only until the next one is requested. */
  chunks(): AsyncIterable<Buffer>;
  append(bytes: Buffer): Promise<void>;
  /** Resolves when all appended bytes are on disk. */
  sync(): Promise<void>;
  /** Cuts the file to a size in bytes and syncs it. */
  truncate(sizeBytes: number): Promise<void>;
  /** Replaces the content; until all chunks are synced the old content stays under the file's name. */
  replace(chunks: Iterable<Buffer>): Promise<void>;
  close(): Promise<void>;
}

/** A folder of such files. */
export interface Disk {
  /** Opens a file, which is created if there is none. */
  open(name: string): Promise<DiskFile>;
  /** Renames a file that cannot be used to `NAME.damaged`, so that a new one can be opened under its name. */
  setAside(name: string): Promise<void>;
}
