import { spawn } from 'node:child_process';
import { createRequire } from 'node:module';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

const here = dirname(fileURLToPath(import.meta.url));
const uvu = join(dirname(createRequire(import.meta.url).resolve('uvu')), '..', 'bin.js');
const pattern = process.argv[2] ?? '\\.test\\.js$';
const child = spawn(process.execPath, [uvu, join(here, 'dist'), pattern], { stdio: ['ignore', 'pipe', 'inherit'] });
const hard = setTimeout(() => child.kill('SIGKILL'), 8 * 60 * 1000);
let out = '';
child.stdout.setEncoding('utf8');
child.stdout.on('data', (part) => {
  out += part;
  process.stdout.write(part);
});
child.on('close', (code) => {
  clearTimeout(hard);
  const plain = out.replace(/\u001b\[[0-9;]*m/g, '');
  const total = Number(/Total:\s+(\d+)/.exec(plain)?.[1] ?? 0);
  const passed = Number(/Passed:\s+(\d+)/.exec(plain)?.[1] ?? 0);
  const failed = Math.max(total - passed, code === 0 ? 0 : 1);
  process.stdout.write(`${passed} passed, ${failed} failed\n`);
  process.exitCode = failed === 0 && passed > 0 ? 0 : 1;
});
