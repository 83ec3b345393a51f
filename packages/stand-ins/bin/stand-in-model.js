#!/usr/bin/env node
import '../dist/main-model.js';
